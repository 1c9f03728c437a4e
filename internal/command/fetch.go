package command

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
	rpccatalogue "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// fileKinds are the kinds of entries that catalogue files contain.
var fileKinds = []string{"host", "service", "customer", "route"}

// listEntries reads all pages of a listing. It starts again when the catalogue
// changes between two pages, so that the result is of one revision.
func listEntries(ctx context.Context, client rpc.Admin, request *rpc.GetRequest) ([]*rpccatalogue.Entry, uint64, error) {
	for {
		var entries []*rpccatalogue.Entry
		var revision uint64
		request.AfterKind, request.AfterId = "", ""
		for {
			page, err := client.Get(ctx, request)
			if err != nil {
				return nil, 0, fault.New("read catalogue", "", err)
			}
			if len(entries) > 0 && page.GetRevision() != revision {
				break
			}
			revision = page.GetRevision()
			entries = append(entries, page.GetEntries()...)
			if !page.GetMore() {
				return entries, revision, nil
			}
			request.AfterKind, request.AfterId = refOf(entries[len(entries)-1])
		}
	}
}

// refOf returns the kind and id of an entry.
func refOf(entry *rpccatalogue.Entry) (kind, id string) {
	switch e := entry.GetKind().(type) {
	case *rpccatalogue.Entry_Host:
		return string(catalogue.KindHost), e.Host.GetId()
	case *rpccatalogue.Entry_Service:
		return string(catalogue.KindService), e.Service.GetName()
	case *rpccatalogue.Entry_Customer:
		return string(catalogue.KindCustomer), e.Customer.GetId()
	case *rpccatalogue.Entry_Route:
		return string(catalogue.KindRoute), e.Route.GetId()
	case *rpccatalogue.Entry_Key:
		return string(catalogue.KindKey), e.Key.GetId()
	default:
		return "", ""
	}
}

// fetchSnapshot reads all current entries of fileKinds.
func fetchSnapshot(ctx context.Context, client rpc.Admin) (*catalogue.Snapshot, error) {
	messages, revision, err := listEntries(ctx, client, &rpc.GetRequest{Kinds: fileKinds})
	if err != nil {
		return nil, err
	}
	entries := make([]catalogue.Entry, 0, len(messages))
	for _, m := range messages {
		entry, err := codec.ToEntry(m)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return catalogue.Build(catalogue.Revision(revision), catalogue.History{}, entries)
}
