package catalogue

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// FieldChange is one TOML key whose value differs between two versions of an entry.
type FieldChange struct {
	// Key is the key in the entry's TOML form.
	Key string
	// Before and After are the values; empty when absent.
	Before, After string
}

// Fields returns the TOML keys that differ between two versions of an entry,
// sorted, without the revision. Either version may be nil. A *Key has no TOML
// form; only its field "revoked" is compared.
func Fields(before, after Entry) []FieldChange {
	x, y := fieldsOf(before), fieldsOf(after)
	keys := maps.Clone(x)
	maps.Copy(keys, y)
	var changes []FieldChange
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if !reflect.DeepEqual(x[key], y[key]) {
			changes = append(changes, FieldChange{Key: key, Before: formatValue(x[key]), After: formatValue(y[key])})
		}
	}
	return changes
}

// fieldsOf returns the keys and values of an entry's TOML form; for a *Key, see Fields.
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

// formatValue formats a value; nil gives an empty string.
func formatValue(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprintf("%v", value)
}
