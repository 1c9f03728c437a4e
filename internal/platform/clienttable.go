package platform

import (
	"context"

	rpc "buckthornlatch.example/buckthornlatch/rpc/platform"
)

// clientTable implements Table over twirp.
type clientTable struct{ c *Client }

// Commit implements Table.
func (t clientTable) Commit(ctx context.Context, txn Txn) (Revision, error) {
	response, err := t.c.rpc.Commit(ctx, toRPCCommit(txn))
	if err != nil {
		return 0, t.c.writeError("commit", err)
	}
	if response.GetRevision() == 0 {
		return 0, &ConflictError{Rows: fromRPCRows(response.GetConflict())}
	}
	return Revision(response.GetRevision()), nil
}

// Get implements Table.
func (t clientTable) Get(ctx context.Context, keys []string) (Rows, error) {
	response, err := t.c.rpc.Get(ctx, &rpc.GetRequest{Keys: keys})
	if err != nil {
		return Rows{}, t.c.readError("get", err)
	}
	return fromRPCResult(response), nil
}

// Scan implements Table.
func (t clientTable) Scan(ctx context.Context, prefix, after string, limit int) (Rows, error) {
	request := &rpc.ScanRequest{Prefix: prefix, After: after, Limit: uint32(min(max(limit, 0), maxReadLimit))}
	response, err := t.c.rpc.Scan(ctx, request)
	if err != nil {
		return Rows{}, t.c.readError("scan", err)
	}
	return fromRPCResult(response), nil
}

// Changes implements Table.
func (t clientTable) Changes(ctx context.Context, prefix string, since Revision, limit int) (Rows, error) {
	request := &rpc.ChangesRequest{Prefix: prefix, Since: uint64(since), Limit: uint32(min(max(limit, 0), maxReadLimit))}
	response, err := t.c.rpc.Changes(ctx, request)
	if err != nil {
		return Rows{}, t.c.readError("changes", err)
	}
	return fromRPCResult(response), nil
}
