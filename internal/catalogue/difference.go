package catalogue

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// FieldChange is one key whose value differs between two states of an entry.
type FieldChange struct {
	// Key is the key in the entry's TOML form.
	Key string
	// Before and After are the values; empty when absent.
	Before, After string
}

// Fields returns the keys that differ between two states of an entry, sorted,
// without the revision. Either state may be nil. Keys of callers have the
// single field "revoked".
func Fields(before, after Entry) []FieldChange {
	x, y := fieldsOf(before), fieldsOf(after)
	keys := maps.Clone(x)
	maps.Copy(keys, y)
	var changes []FieldChange
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if !reflect.DeepEqual(x[key], y[key]) {
			changes = append(changes, FieldChange{Key: key, Before: display(x[key]), After: display(y[key])})
		}
	}
	return changes
}

// fieldsOf returns the keys and values of an entry's TOML form.
func fieldsOf(entry Entry) map[string]any {
	if entry == nil {
		return map[string]any{}
	}
	if key, ok := entry.(*Key); ok {
		return map[string]any{"revoked": key.Revoked}
	}
	data, err := Render([]Entry{entry.withRevisions(0, 0)})
	if err != nil {
		return map[string]any{}
	}
	var document map[string][]map[string]any
	if err := toml.Unmarshal(data, &document); err != nil {
		return map[string]any{}
	}
	for _, sections := range document {
		return sections[0]
	}
	return map[string]any{}
}

// display formats a value; nil is empty.
func display(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprintf("%v", value)
}
