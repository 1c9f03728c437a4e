package tomlfile

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"time"

	"github.com/pelletier/go-toml/v2"
)

var durationType = reflect.TypeFor[time.Duration]()

// Decode stores the document in the struct that into points to. It returns the
// positions of the keys, for the fault messages of later checks, and all faults.
// An invalid value does not prevent the other values from being stored; after a
// syntax error nothing is stored.
func Decode(file string, document []byte, into any) (Positions, Faults) {
	tree := make(map[string]any)
	if err := toml.Unmarshal(document, &tree); err != nil {
		return Positions{}, Faults{syntaxFault(file, err)}
	}
	d := &decoder{file: file, positions: locate(document)}
	d.table("", tree, reflect.ValueOf(into).Elem())
	return d.positions, d.faults
}

// syntaxFault converts a parser error to a fault with its line.
func syntaxFault(file string, err error) Fault {
	line := 0
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
	}
	return Fault{File: file, Line: line, Reason: err.Error()}
}

// decoder stores a parsed document in a struct and collects faults.
type decoder struct {
	file      string
	positions Positions
	faults    Faults
}

// addFault records a fault at a key.
func (d *decoder) addFault(key, format string, args ...any) {
	d.faults = append(d.faults, Fault{
		File:   d.file,
		Line:   d.positions.Line(key),
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	})
}

// table stores a table in a struct. It goes through the keys in alphabetical order, so the order of faults is stable.
func (d *decoder) table(prefix string, tree map[string]any, into reflect.Value) {
	fields := make(map[string]reflect.Value)
	collectFields(into, fields)
	names := make([]string, 0, len(tree))
	for name := range tree {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		key := join(prefix, name)
		field, ok := fields[name]
		if !ok {
			d.addFault(key, "unknown key")
			continue
		}
		d.value(key, tree[name], field)
	}
}

// collectFields adds the fields of a struct to a map by tag, including those of embedded structs.
func collectFields(v reflect.Value, fields map[string]reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			collectFields(v.Field(i), fields)
			continue
		}
		if tag := field.Tag.Get("toml"); tag != "" && tag != "-" {
			fields[tag] = v.Field(i)
		}
	}
}

// value stores a value of any supported type.
func (d *decoder) value(key string, value any, into reflect.Value) {
	if into.Type() == durationType {
		d.duration(key, value, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		tree, ok := value.(map[string]any)
		if !ok {
			d.addFault(key, "expected a table, found %s", kindName(value))
			return
		}
		d.table(key, tree, into)
	case reflect.Slice:
		d.slice(key, value, into)
	default:
		d.scalar(key, value, into)
	}
}

// duration stores a duration, written as a string with a unit.
func (d *decoder) duration(key string, value any, into reflect.Value) {
	text, ok := value.(string)
	if !ok {
		d.addFault(key, "expected a duration with a unit such as \"250ms\", found %s", kindName(value))
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.addFault(key, "%q is not a duration with a unit such as \"250ms\"", text)
		return
	}
	into.SetInt(int64(parsed))
}

// slice stores an array of strings or of tables.
func (d *decoder) slice(key string, value any, into reflect.Value) {
	values, ok := value.([]any)
	if !ok {
		d.addFault(key, "expected an array, found %s", kindName(value))
		return
	}
	out := reflect.MakeSlice(into.Type(), len(values), len(values))
	for i, element := range values {
		d.value(fmt.Sprintf("%s[%d]", key, i), element, out.Index(i))
	}
	into.Set(out)
}

// scalar stores a string, boolean, integer or floating-point number. An integer is valid for a float64 field.
func (d *decoder) scalar(key string, value any, into reflect.Value) {
	found := reflect.ValueOf(value)
	switch into.Kind() {
	case reflect.Float64:
		if found.Kind() == reflect.Int64 || found.Kind() == reflect.Float64 {
			into.Set(found.Convert(into.Type()))
			return
		}
	case reflect.Int, reflect.Int64:
		if found.Kind() == reflect.Int64 && !into.OverflowInt(found.Int()) {
			into.SetInt(found.Int())
			return
		}
	default:
		if found.Kind() == into.Kind() {
			into.Set(found.Convert(into.Type()))
			return
		}
	}
	d.addFault(key, "expected %s, found %s", typeName(into.Kind()), kindName(value))
}

// typeName returns the TOML name of a Go kind.
func typeName(kind reflect.Kind) string {
	switch kind {
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "a boolean"
	default:
		return "a string"
	}
}

// kindName returns the TOML name of a parsed value's type.
func kindName(value any) string {
	switch value.(type) {
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	default:
		return typeName(reflect.ValueOf(value).Kind())
	}
}
