package admin

import (
	"context"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/audit"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/id"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
	rpccatalogue "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// listLimit bounds the entries of one response.
const listLimit = 2000

// Get implements rpc.Admin. For the first page it polls the platform; during
// an outage the response shows the daemon's copy as it is.
func (s *Service) Get(ctx context.Context, request *rpc.GetRequest) (*rpc.GetResponse, error) {
	if request.GetAfterId() == "" {
		_ = s.editor.source.Poll(ctx)
	}
	snapshot := s.editor.source.Snapshot()
	kinds := make([]catalogue.Kind, 0, len(request.GetKinds()))
	for _, kind := range request.GetKinds() {
		kinds = append(kinds, catalogue.Kind(kind))
	}
	entries := snapshot.Sorted(kinds...)
	if customer := id.CustomerID(request.GetCustomer()); customer != "" {
		entries = slices.DeleteFunc(entries, func(e catalogue.Entry) bool {
			key, isKey := e.(*catalogue.Key)
			return isKey && key.Customer != customer
		})
	}
	entries = entriesAfter(entries, catalogue.Ref{Kind: catalogue.Kind(request.GetAfterKind()), ID: request.GetAfterId()})
	limit := int(request.GetLimit())
	if limit == 0 || limit > listLimit {
		limit = listLimit
	}
	response := &rpc.GetResponse{Revision: uint64(snapshot.Revision()), More: len(entries) > limit}
	for _, entry := range entries[:min(limit, len(entries))] {
		response.Entries = append(response.Entries, codec.FromEntry(audit.WithoutHash(entry)))
	}
	return response, nil
}

// entriesAfter returns the entries that sort after ref; all for an empty ref.
func entriesAfter(entries []catalogue.Entry, ref catalogue.Ref) []catalogue.Entry {
	if ref == (catalogue.Ref{}) {
		return entries
	}
	at, found := slices.BinarySearchFunc(entries, ref, func(e catalogue.Entry, r catalogue.Ref) int {
		return catalogue.CompareRefs(e.Ref(), r)
	})
	if found {
		at++
	}
	return entries[at:]
}

// Audit implements rpc.Admin.
func (s *Service) Audit(ctx context.Context, request *rpc.AuditRequest) (*rpc.AuditResponse, error) {
	page, err := s.log.Page(ctx, audit.Query{
		After:    catalogue.Revision(request.GetAfter()),
		Limit:    int(request.GetLimit()),
		Ref:      catalogue.Ref{Kind: catalogue.Kind(request.GetKind()), ID: request.GetId()},
		Operator: request.GetOperator(),
	})
	if err != nil {
		return nil, toTwirp(&ReadFailedError{Err: err})
	}
	response := &rpc.AuditResponse{Through: uint64(page.Through), More: page.More}
	for _, change := range page.Changes {
		response.Changes = append(response.Changes, &rpccatalogue.Change{
			Revision: uint64(change.Revision),
			ChangeId: string(change.ID),
			Operator: change.Operator,
			AtUnixMs: change.At.UnixMilli(),
			Why:      change.Why,
			Edits:    toRPCEdits(change.Edits),
		})
	}
	return response, nil
}
