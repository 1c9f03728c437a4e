package admin

import (
	"context"
	"errors"
	"slices"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// faultyTable is one daemon's path to the shared table.
type faultyTable struct {
	platform.Table
	// down refuses every call without effect.
	down bool
	// lose drops the response of the next writes after they took effect.
	lose int
	// hold makes the next writes take effect only when release runs.
	hold int
	held []platform.Txn
	// refuse refuses the writes that follow the held ones.
	refuse int
	off    mechanismsOff
}

// mechanismsOff says which mechanisms are switched off, to show that the checks need them.
type mechanismsOff struct {
	// changeIDs makes every change id look unused.
	changeIDs bool
	// unknownOutcomes reports lost responses as writes without effect.
	unknownOutcomes bool
}

var errFault = errors.New("injected fault")

const changeIDRows = "catalogue/changeid/"

func (f *faultyTable) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	if f.down {
		return 0, &platform.NotDoneError{Step: "commit", Err: errFault}
	}
	if f.off.changeIDs {
		txn.Conditions = slices.DeleteFunc(slices.Clone(txn.Conditions), func(c platform.Condition) bool {
			return strings.HasPrefix(c.Key, changeIDRows)
		})
	}
	if f.hold > 0 {
		f.hold--
		f.held = append(f.held, txn)
		return 0, f.lost()
	}
	if f.refuse > 0 {
		f.refuse--
		return 0, &platform.NotDoneError{Step: "commit", Err: errFault}
	}
	revision, err := f.Table.Commit(ctx, txn)
	if f.lose > 0 {
		f.lose--
		return 0, f.lost()
	}
	return revision, err
}

// lost returns the error of a write whose response was lost.
func (f *faultyTable) lost() error {
	if f.off.unknownOutcomes {
		return &platform.NotDoneError{Step: "commit", Err: errFault}
	}
	return &platform.OutcomeUnknownError{Step: "commit", Err: errFault}
}

// release lets the held writes take effect, if their conditions still hold.
func (f *faultyTable) release() {
	for _, txn := range f.held {
		_, _ = f.Table.Commit(context.Background(), txn)
	}
	f.held = nil
}

func (f *faultyTable) Get(ctx context.Context, keys []string) (platform.Rows, error) {
	if f.down {
		return platform.Rows{}, &platform.NotDoneError{Step: "get", Err: errFault}
	}
	rows, err := f.Table.Get(ctx, keys)
	for i := range rows.Rows {
		if f.off.changeIDs && strings.HasPrefix(rows.Rows[i].Key, changeIDRows) {
			rows.Rows[i] = platform.Row{Key: rows.Rows[i].Key}
		}
	}
	return rows, err
}

func (f *faultyTable) Scan(ctx context.Context, prefix, after string, limit int) (platform.Rows, error) {
	if f.down {
		return platform.Rows{}, &platform.NotDoneError{Step: "scan", Err: errFault}
	}
	return f.Table.Scan(ctx, prefix, after, limit)
}
