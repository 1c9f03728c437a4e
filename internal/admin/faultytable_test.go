package admin

import (
	"context"
	"errors"
	"slices"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// faultyTable injects faults between one daemon and the shared table.
type faultyTable struct {
	platform.Table
	// down fails every call without effect.
	down bool
	// loseResponses drops the response of the next writes after they took effect.
	loseResponses int
	// holdWrites defers the next writes until release; their outcome is unknown to the caller.
	holdWrites int
	heldWrites []platform.Txn
	// refuseWrites fails the writes after the held ones, without effect.
	refuseWrites int
	disabled     disabledMechanisms
}

// disabledMechanisms selects the mechanisms to disable, to show that the checks
// detect their absence.
type disabledMechanisms struct {
	// changeIDs makes every change id look unused.
	changeIDs bool
	// unknownOutcomes reports a lost response as a write that was not done.
	unknownOutcomes bool
}

var errFault = errors.New("injected fault")

const changeIDRows = "catalogue/changeid/"

func (f *faultyTable) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	if f.down {
		return 0, &platform.NotDoneError{Step: "commit", Err: errFault}
	}
	if f.disabled.changeIDs {
		txn.Conditions = slices.DeleteFunc(slices.Clone(txn.Conditions), func(c platform.Condition) bool {
			return strings.HasPrefix(c.Key, changeIDRows)
		})
	}
	if f.holdWrites > 0 {
		f.holdWrites--
		f.heldWrites = append(f.heldWrites, txn)
		return 0, f.lostResponseError()
	}
	if f.refuseWrites > 0 {
		f.refuseWrites--
		return 0, &platform.NotDoneError{Step: "commit", Err: errFault}
	}
	revision, err := f.Table.Commit(ctx, txn)
	if f.loseResponses > 0 {
		f.loseResponses--
		return 0, f.lostResponseError()
	}
	return revision, err
}

// lostResponseError returns the error of a write whose response was lost.
func (f *faultyTable) lostResponseError() error {
	if f.disabled.unknownOutcomes {
		return &platform.NotDoneError{Step: "commit", Err: errFault}
	}
	return &platform.OutcomeUnknownError{Step: "commit", Err: errFault}
}

// release commits the held writes whose conditions still hold.
func (f *faultyTable) release() {
	for _, txn := range f.heldWrites {
		_, _ = f.Table.Commit(context.Background(), txn)
	}
	f.heldWrites = nil
}

func (f *faultyTable) Get(ctx context.Context, keys []string) (platform.Rows, error) {
	if f.down {
		return platform.Rows{}, &platform.NotDoneError{Step: "get", Err: errFault}
	}
	rows, err := f.Table.Get(ctx, keys)
	for i := range rows.Rows {
		if f.disabled.changeIDs && strings.HasPrefix(rows.Rows[i].Key, changeIDRows) {
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
