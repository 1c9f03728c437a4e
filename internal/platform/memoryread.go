package platform

import (
	"context"
	"slices"
	"sort"
	"strings"
)

// Get implements Table.
func (t memoryTable) Get(ctx context.Context, keys []string) (Rows, error) {
	if err := ctx.Err(); err != nil {
		return Rows{}, &NotDoneError{Step: "get", Err: err}
	}
	m := t.m
	m.mu.Lock()
	defer m.mu.Unlock()
	result := Rows{Rows: make([]Row, 0, len(keys)), Through: m.revision}
	for _, key := range keys {
		result.Rows = append(result.Rows, m.row(key))
	}
	return result, nil
}

// Scan implements Table.
func (t memoryTable) Scan(ctx context.Context, prefix, after string, limit int) (Rows, error) {
	if err := ctx.Err(); err != nil {
		return Rows{}, &NotDoneError{Step: "scan", Err: err}
	}
	if limit < 1 {
		limit = maxReadLimit
	}
	m := t.m
	m.mu.Lock()
	defer m.mu.Unlock()
	result := Rows{Through: m.revision}
	start, _ := slices.BinarySearch(m.keys, max(prefix, after))
	for _, key := range m.keys[start:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key <= after || !m.rows[key].Exists() {
			continue
		}
		if len(result.Rows) >= limit {
			result.More = true
			break
		}
		result.Rows = append(result.Rows, m.rows[key])
	}
	return result, nil
}

// Changes implements Table.
func (t memoryTable) Changes(ctx context.Context, prefix string, since Revision, limit int) (Rows, error) {
	if err := ctx.Err(); err != nil {
		return Rows{}, &NotDoneError{Step: "changes", Err: err}
	}
	m := t.m
	m.mu.Lock()
	defer m.mu.Unlock()
	result := Rows{Through: m.revision}
	start := sort.Search(len(m.log), func(i int) bool { return m.log[i].revision > since })
	for _, w := range m.log[start:] {
		row := m.rows[w.key]
		if row.Revision != w.revision || !strings.HasPrefix(w.key, prefix) {
			continue
		}
		if n := len(result.Rows); n >= limit && n > 0 && result.Rows[n-1].Revision != w.revision {
			result.More = true
			result.Through = result.Rows[n-1].Revision
			break
		}
		result.Rows = append(result.Rows, row)
	}
	return result, nil
}
