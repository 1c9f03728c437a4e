package catalogue

import (
	"fmt"
	"slices"
	"time"
)

// fields reads the values of one section and collects mistakes.
type fields struct {
	file     string
	kind     string
	values   map[string]any
	position section
	known    []string
	errors   FileErrors
}

// fail records a mistake at a key.
func (f *fields) fail(key, format string, args ...any) {
	f.errors = append(f.errors, FileError{
		File: f.file, Line: f.position.lineOf(key), Key: f.kind + "." + key, Reason: fmt.Sprintf(format, args...),
	})
}

// value returns the raw value of a key and marks the key as known.
func (f *fields) value(key string) (any, bool) {
	f.known = append(f.known, key)
	v, ok := f.values[key]
	return v, ok
}

// unknown records every key that was not read.
func (f *fields) unknown() {
	for key := range f.values {
		if !slices.Contains(f.known, key) {
			f.fail(key, "is not a key of a %s", f.kind)
		}
	}
}

// scalar returns the value of a key, or the fallback when it is absent or of another type.
func scalar[T any](f *fields, key string, fallback T, typeName string) T {
	raw, ok := f.value(key)
	if !ok {
		return fallback
	}
	value, ok := raw.(T)
	if !ok {
		f.fail(key, "must be %s", typeName)
		return fallback
	}
	return value
}

// text returns a string; required strings are checked by Validate.
func (f *fields) text(key, fallback string) string {
	return scalar(f, key, fallback, "a string")
}

// flag returns a boolean, false by default.
func (f *fields) flag(key string) bool {
	return scalar(f, key, false, "true or false")
}

// integer returns an integer.
func (f *fields) integer(key string, fallback int64) int64 {
	return scalar(f, key, fallback, "an integer")
}

// number returns a float; integers are accepted.
func (f *fields) number(key string, fallback float64) float64 {
	if whole, ok := f.values[key].(int64); ok {
		f.known = append(f.known, key)
		return float64(whole)
	}
	return scalar(f, key, fallback, "a number")
}

// duration returns a duration such as "2s".
func (f *fields) duration(key string, fallback time.Duration) time.Duration {
	text := f.text(key, fallback.String())
	d, err := time.ParseDuration(text)
	if err != nil {
		f.fail(key, "%q is not a duration such as \"2s\"", text)
		return fallback
	}
	return d
}

// list returns a list of strings.
func (f *fields) list(key string) []string {
	var out []string
	for _, raw := range scalar[[]any](f, key, nil, "a list of strings") {
		text, ok := raw.(string)
		if !ok {
			f.fail(key, "must be a list of strings")
			return nil
		}
		out = append(out, text)
	}
	return out
}
