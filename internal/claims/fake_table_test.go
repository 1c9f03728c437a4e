package claims

import (
	"context"
	"errors"
)

// fault is the failure that the fake table injects into its calls.
type fault int

const (
	// faultNone lets calls succeed.
	faultNone fault = iota
	// faultUnavailable refuses calls.
	faultUnavailable
	// faultLost applies commits and loses their responses.
	faultLost
	// faultDelayed loses the responses of commits and applies them in ApplyDelayed.
	faultDelayed
	// faultReadLost is faultLost, and the next read fails too.
	faultReadLost
)

var errFake = errors.New("fake table fault")

// fakeTable is a table in memory with injected faults.
type fakeTable struct {
	rows         map[string]Row
	revision     Revision
	injected     fault
	failNextRead bool
	delayed      []Txn
	commits      int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]Row{}}
}

// Commit implements Table.
func (f *fakeTable) Commit(_ context.Context, txn Txn) (Revision, error) {
	f.commits++
	switch f.injected {
	case faultUnavailable:
		return 0, &NotCommittedError{errFake}
	case faultLost, faultReadLost:
		_, _ = f.apply(txn)
		f.failNextRead = f.injected == faultReadLost
		return 0, &OutcomeUnknownError{errFake}
	case faultDelayed:
		f.delayed = append(f.delayed, txn)
		return 0, &OutcomeUnknownError{errFake}
	}
	return f.apply(txn)
}

// ApplyDelayed applies the i-th delayed commit.
func (f *fakeTable) ApplyDelayed(i int) {
	txn := f.delayed[i]
	f.delayed = append(f.delayed[:i:i], f.delayed[i+1:]...)
	_, _ = f.apply(txn)
}

// apply checks the conditions and writes.
func (f *fakeTable) apply(txn Txn) (Revision, error) {
	var conflict ConflictError
	for _, c := range txn.Conditions {
		if row := f.rows[c.Key]; row.Revision != c.Revision {
			row.Key = c.Key
			conflict.Current = append(conflict.Current, row)
		}
	}
	if len(conflict.Current) > 0 {
		return 0, &conflict
	}
	f.revision++
	for _, p := range txn.Puts {
		f.rows[p.Key] = Row{Key: p.Key, Value: p.Value, Revision: f.revision}
	}
	for _, k := range txn.Deletes {
		delete(f.rows, k)
	}
	return f.revision, nil
}

// Get implements Table.
func (f *fakeTable) Get(_ context.Context, keys []string) ([]Row, error) {
	if f.failNextRead || f.injected == faultUnavailable {
		f.failNextRead = false
		return nil, errFake
	}
	var rows []Row
	for _, k := range keys {
		if r, ok := f.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows, nil
}
