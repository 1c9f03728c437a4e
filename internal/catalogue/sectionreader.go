package catalogue

import (
	"fmt"
	"slices"
	"time"
)

// sectionReader reads the values of one section and collects the errors found.
type sectionReader struct {
	file     string
	kind     string
	values   map[string]any
	position sectionPosition
	read     []string
	errors   FileErrors
}

// addError records an error at a key.
func (f *sectionReader) addError(key, format string, args ...any) {
	f.errors = append(f.errors, FileError{
		File: f.file, Line: f.position.lineOf(key), Key: f.kind + "." + key, Reason: fmt.Sprintf(format, args...),
	})
}

// value returns the raw value of a key and marks the key as read.
func (f *sectionReader) value(key string) (any, bool) {
	f.read = append(f.read, key)
	v, ok := f.values[key]
	return v, ok
}

// reportUnknown records an error for every key that was not read.
func (f *sectionReader) reportUnknown() {
	for key := range f.values {
		if !slices.Contains(f.read, key) {
			f.addError(key, "is not a key of a %s", f.kind)
		}
	}
}

// scalar returns the value of a key, or the fallback when it is absent or of another type.
func scalar[T any](f *sectionReader, key string, fallback T, typeName string) T {
	raw, ok := f.value(key)
	if !ok {
		return fallback
	}
	value, ok := raw.(T)
	if !ok {
		f.addError(key, "must be %s", typeName)
		return fallback
	}
	return value
}

// text returns a string; required strings are checked by Validate.
func (f *sectionReader) text(key, fallback string) string {
	return scalar(f, key, fallback, "a string")
}

// boolean returns a boolean, false by default.
func (f *sectionReader) boolean(key string) bool {
	return scalar(f, key, false, "true or false")
}

// integer returns an integer.
func (f *sectionReader) integer(key string, fallback int64) int64 {
	return scalar(f, key, fallback, "an integer")
}

// number returns a float; integers are accepted.
func (f *sectionReader) number(key string, fallback float64) float64 {
	if whole, ok := f.values[key].(int64); ok {
		f.read = append(f.read, key)
		return float64(whole)
	}
	return scalar(f, key, fallback, "a number")
}

// duration returns a duration such as "2s".
func (f *sectionReader) duration(key string, fallback time.Duration) time.Duration {
	text := f.text(key, fallback.String())
	d, err := time.ParseDuration(text)
	if err != nil {
		f.addError(key, "%q is not a duration such as \"2s\"", text)
		return fallback
	}
	return d
}

// list returns a list of strings.
func (f *sectionReader) list(key string) []string {
	var out []string
	for _, raw := range scalar[[]any](f, key, nil, "a list of strings") {
		text, ok := raw.(string)
		if !ok {
			f.addError(key, "must be a list of strings")
			return nil
		}
		out = append(out, text)
	}
	return out
}
