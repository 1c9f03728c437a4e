package experiment

import (
	"context"
	"net/http"
	"os"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// operateTimeout bounds one call of the administration API.
const operateTimeout = 15 * time.Second

// tokenTransport adds the operator's token.
type tokenTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	return t.next.RoundTrip(r)
}

// Admin returns a client of a node's administration API.
func (n *Node) Admin() rpc.Admin {
	client := &http.Client{Transport: tokenTransport{next: n.operator}, Timeout: operateTimeout}
	return rpc.NewAdminProtobufClient(n.url(n.Daemon.Addresses().Admin), client)
}

// ReadCatalogue reads the entries of a catalogue file.
func ReadCatalogue(name string) ([]catalogue.Entry, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.New("read catalogue", "", err)
	}
	file, err := catalogue.Load(name, data)
	if err != nil {
		return nil, err
	}
	var entries []catalogue.Entry
	for _, e := range file.Entries {
		entries = append(entries, e.Entry)
	}
	return entries, nil
}

// hostsOf returns the hosts among entries.
func hostsOf(entries []catalogue.Entry) []*catalogue.Host {
	var hosts []*catalogue.Host
	for _, entry := range entries {
		if host, ok := entry.(*catalogue.Host); ok {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// servicesOf returns the services among entries.
func servicesOf(entries []catalogue.Entry) []*catalogue.Service {
	var services []*catalogue.Service
	for _, entry := range entries {
		if service, ok := entry.(*catalogue.Service); ok {
			services = append(services, service)
		}
	}
	return services
}

// Apply creates entries through the first node.
func (f *Fleet) Apply(ctx context.Context, entries []catalogue.Entry) error {
	request := &rpc.ApplyRequest{ChangeId: "experiment-catalogue", Why: "experiment"}
	for _, entry := range entries {
		ref := entry.Ref()
		request.Edits = append(request.Edits, &rpc.EntryEdit{
			Kind:  string(ref.Kind),
			Id:    ref.ID,
			Entry: codec.FromEntry(entry),
		})
	}
	response, err := f.Nodes[0].Admin().Apply(ctx, request)
	f.revision = catalogue.Revision(response.GetRevision())
	return fault.New("apply catalogue", string(f.Nodes[0].Host.ID), err)
}

// IssueKeys issues one key to each customer of a plan.
func (f *Fleet) IssueKeys(ctx context.Context, plan load.Plan) (load.Keys, error) {
	keys := make(load.Keys)
	for _, customer := range plan.Customers {
		response, err := f.Nodes[0].Admin().IssueKey(ctx, &rpc.IssueKeyRequest{
			ChangeId: "experiment-key-" + customer.ID,
			Why:      "experiment",
			Customer: customer.ID,
		})
		if err != nil {
			return nil, fault.New("issue key", customer.ID, err)
		}
		keys[customer.ID] = response.GetKey()
		f.revision = catalogue.Revision(response.GetRevision())
	}
	return keys, nil
}
