package daemon

import (
	"context"
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/claims"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// claimTable implements claims.Table, which holds the claims of caller-chosen keys, with the
// platform's table.
type claimTable struct {
	table platform.Table
}

// Commit implements claims.Table.
func (t *claimTable) Commit(ctx context.Context, txn claims.Txn) (claims.Revision, error) {
	out := platform.Txn{Deletes: txn.Deletes}
	for _, c := range txn.Conditions {
		out.Conditions = append(out.Conditions, platform.Condition{Key: c.Key, Revision: platform.Revision(c.Revision)})
	}
	for _, p := range txn.Puts {
		out.Puts = append(out.Puts, platform.Put{Key: p.Key, Value: p.Value})
	}
	revision, err := t.table.Commit(ctx, out)
	return claims.Revision(revision), claimError(out.Conditions, err)
}

// Get implements claims.Table.
func (t *claimTable) Get(ctx context.Context, keys []string) ([]claims.Row, error) {
	rows, err := t.table.Get(ctx, keys)
	if err != nil {
		return nil, claimError(nil, err)
	}
	var out []claims.Row
	for _, row := range rows.Rows {
		if row.Exists() {
			out = append(out, claimRow(row))
		}
	}
	return out, nil
}

// claimRow converts a row; one that does not exist gets revision zero.
func claimRow(row platform.Row) claims.Row {
	out := claims.Row{Key: row.Key}
	if row.Exists() {
		out.Value, out.Revision = row.Value, claims.Revision(row.Revision)
	}
	return out
}

// claimError converts the platform's errors to those of claims.Table.
func claimError(conditions []platform.Condition, err error) error {
	var notDone *platform.NotDoneError
	var unknown *platform.OutcomeUnknownError
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &notDone):
		return &claims.NotCommittedError{Err: err}
	case errors.As(err, &unknown):
		return &claims.OutcomeUnknownError{Err: err}
	case errors.As(err, &conflict):
		return &claims.ConflictError{Current: failedRows(conditions, conflict.Rows)}
	default:
		return err
	}
}

// failedRows returns the rows whose condition failed.
func failedRows(conditions []platform.Condition, rows []platform.Row) []claims.Row {
	var out []claims.Row
	for i, row := range rows {
		converted := claimRow(row)
		if i < len(conditions) && converted.Revision != claims.Revision(conditions[i].Revision) {
			out = append(out, converted)
		}
	}
	return out
}
