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

// Decode fills the struct that into points to. It returns the positions of all
// keys, for later checks, and every fault found. After a fault the struct holds
// the values that were right.
func Decode(file string, document []byte, into any) (Positions, Faults) {
	tree := make(map[string]any)
	if err := toml.Unmarshal(document, &tree); err != nil {
		return Positions{}, Faults{syntaxFault(file, err)}
	}
	d := &decoder{file: file, positions: locate(document)}
	d.table("", tree, reflect.ValueOf(into).Elem())
	return d.positions, d.faults
}

// syntaxFault turns the parser's error into a fault with its line.
func syntaxFault(file string, err error) Fault {
	line := 0
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
	}
	return Fault{File: file, Line: line, Reason: err.Error()}
}

// decoder walks a parsed document and collects faults.
type decoder struct {
	file      string
	positions Positions
	faults    Faults
}

// fail records a fault at a key.
func (d *decoder) fail(key, format string, args ...any) {
	d.faults = append(d.faults, Fault{
		File:   d.file,
		Line:   d.positions.Line(key),
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	})
}

// table assigns the values of one table to the fields of a struct.
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
			d.fail(key, "unknown key")
			continue
		}
		d.value(key, tree[name], field)
	}
}

// collectFields indexes the fields of a struct by tag, embedded structs included.
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

// value assigns one value to a field.
func (d *decoder) value(key string, value any, into reflect.Value) {
	if into.Type() == durationType {
		d.duration(key, value, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		tree, ok := value.(map[string]any)
		if !ok {
			d.fail(key, "expected a table, found %s", kindName(value))
			return
		}
		d.table(key, tree, into)
	case reflect.Slice:
		d.slice(key, value, into)
	default:
		d.scalar(key, value, into)
	}
}

// duration assigns a string with a unit.
func (d *decoder) duration(key string, value any, into reflect.Value) {
	text, ok := value.(string)
	if !ok {
		d.fail(key, "expected a duration with a unit such as \"250ms\", found %s", kindName(value))
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.fail(key, "%q is not a duration with a unit such as \"250ms\"", text)
		return
	}
	into.SetInt(int64(parsed))
}

// slice assigns an array of strings or of tables.
func (d *decoder) slice(key string, value any, into reflect.Value) {
	values, ok := value.([]any)
	if !ok {
		d.fail(key, "expected an array, found %s", kindName(value))
		return
	}
	out := reflect.MakeSlice(into.Type(), len(values), len(values))
	for i, element := range values {
		d.value(fmt.Sprintf("%s[%d]", key, i), element, out.Index(i))
	}
	into.Set(out)
}

// scalar assigns a string, boolean, integer or floating-point number.
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
	d.fail(key, "expected %s, found %s", typeName(into.Kind()), kindName(value))
}

// typeName names a field's kind as TOML does.
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

// kindName names the type of a parsed value as TOML does.
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
