package platform

import (
	"bytes"
	"context"
	"slices"
)

// compactionMinimum is the number of superseded writes that the log must hold before it is compacted.
const compactionMinimum = 1024

// Commit implements Table.
func (t memoryTable) Commit(ctx context.Context, txn Txn) (Revision, error) {
	if err := ctx.Err(); err != nil {
		return 0, &NotDoneError{Step: "commit", Err: err}
	}
	m := t.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holds(txn.Conditions) {
		return 0, &ConflictError{Rows: m.conditionRows(txn.Conditions)}
	}
	m.revision++
	for _, p := range txn.Puts {
		m.write(Row{Key: p.Key, Value: bytes.Clone(p.Value), Revision: m.revision})
	}
	for _, key := range txn.Deletes {
		if m.rows[key].Exists() {
			m.write(Row{Key: key, Revision: m.revision, Deleted: true})
		}
	}
	m.compact()
	return m.revision, nil
}

// holds reports whether all conditions hold.
func (m *Memory) holds(conditions []Condition) bool {
	for _, c := range conditions {
		row := m.rows[c.Key]
		current := row.Revision
		if !row.Exists() {
			current = 0
		}
		if current != c.Revision {
			return false
		}
	}
	return true
}

// conditionRows returns the current rows of the conditions.
func (m *Memory) conditionRows(conditions []Condition) []Row {
	rows := make([]Row, 0, len(conditions))
	for _, c := range conditions {
		rows = append(rows, m.row(c.Key))
	}
	return rows
}

// row returns the current row of a key. Its Key is set even if the row was never written.
func (m *Memory) row(key string) Row {
	row := m.rows[key]
	row.Key = key
	return row
}

// write stores the row and appends it to the log.
func (m *Memory) write(row Row) {
	if _, known := m.rows[row.Key]; known {
		m.superseded++
	} else {
		index, _ := slices.BinarySearch(m.keys, row.Key)
		m.keys = slices.Insert(m.keys, index, row.Key)
	}
	m.rows[row.Key] = row
	m.log = append(m.log, write{revision: row.Revision, key: row.Key})
}

// compact drops superseded writes from the log once they number at least compactionMinimum and make up at least half
// of the log.
func (m *Memory) compact() {
	if m.superseded < compactionMinimum || 2*m.superseded < len(m.log) {
		return
	}
	m.log = slices.DeleteFunc(m.log, func(w write) bool { return m.rows[w.key].Revision != w.revision })
	m.superseded = 0
}
