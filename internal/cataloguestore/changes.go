package cataloguestore

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
)

// Record is one change together with its encoded form.
type Record struct {
	Change *catalogue.Change
	Data   []byte
}

// Changes reads at most limit changes after the revision, in order, and
// reports whether more follow. If none follow, the last change read (or the
// given revision, if none was read) was current at the time of the read.
func (s *Store) Changes(ctx context.Context, after catalogue.Revision, limit int) ([]Record, bool, error) {
	rows, err := s.table.Scan(ctx, changePrefix, changeKey(after), limit)
	if err != nil {
		return nil, false, err
	}
	records := make([]Record, 0, len(rows.Rows))
	for _, row := range rows.Rows {
		change, err := codec.DecodeChange(row.Value)
		if err != nil {
			return nil, false, err
		}
		records = append(records, Record{Change: change, Data: row.Value})
	}
	return records, rows.More, nil
}

// Change reads the change that created the revision; it returns nil when there is none.
func (s *Store) Change(ctx context.Context, revision catalogue.Revision) (*catalogue.Change, error) {
	rows, err := s.table.Get(ctx, []string{changeKey(revision)})
	if err != nil || len(rows.Rows) != 1 || !rows.Rows[0].Exists() {
		return nil, err
	}
	return codec.DecodeChange(rows.Rows[0].Value)
}
