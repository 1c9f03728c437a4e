package catalogue_test

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/apikey"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/routing"
)

// size gives the number of entries of each kind.
type size struct {
	hosts, services, routes, customers, keys int
}

// fullSize is the size of the fleet that is planned for in two years.
var fullSize = size{hosts: 460, services: 110, routes: 3700, customers: 21000, keys: 42000}

// secretOf returns the n-th key of a generated catalogue.
func secretOf(n int) string {
	return fmt.Sprintf("%s%043d", apikey.Prefix, n)
}

// build returns a generated catalogue.
func build(tb testing.TB, n size) *catalogue.Snapshot {
	meta := catalogue.Meta{Owner: "operations", Class: "standard", Revision: 1}
	var entries []catalogue.Entry
	for i := range n.hosts {
		entries = append(entries, &catalogue.Host{
			Meta: meta, ID: id.HostID(fmt.Sprintf("host-%04d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("fd-%d", i%6)),
		})
	}
	for i := range n.services {
		entries = append(entries, &catalogue.Service{
			Meta: meta, Name: id.ServiceName(fmt.Sprintf("service-%03d", i)), QueueLimit: 9, QueueLimitPerCustomer: 9,
			RequestTimeout: time.Second, ProgressTimeout: time.Second,
		})
	}
	for i := range n.customers {
		entries = append(entries, &catalogue.Customer{
			Meta: meta, ID: id.CustomerID(fmt.Sprintf("customer-%05d", i)), RatePerSecond: 5, Burst: 10, Weight: 1,
		})
	}
	for i := range n.routes {
		entries = append(entries, &catalogue.Route{
			Meta: meta, ID: id.RouteID(fmt.Sprintf("route-%04d", i)), OpenToAll: true,
			Service:    id.ServiceName(fmt.Sprintf("service-%03d", i%max(n.services, 1))),
			PathPrefix: fmt.Sprintf("/area-%d/resource-%04d", i%100, i),
		})
	}
	for i := range n.keys {
		entries = append(entries, &catalogue.Key{
			Meta: meta, ID: catalogue.KeyID(fmt.Sprintf("key-%020d", i)),
			Customer: id.CustomerID(fmt.Sprintf("customer-%05d", i%max(n.customers, 1))),
			Hash:     sha256.Sum256([]byte(secretOf(i))),
		})
	}
	s, err := catalogue.Build(1, catalogue.History{}, entries)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

func BenchmarkRouteMatch(b *testing.B) {
	for _, routes := range []int{37, 370, 1850, 3700} {
		s := build(b, size{routes: routes, services: 110})
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			requests := make([]routing.Request, 1024)
			for i := range requests {
				n := i % routes
				path := fmt.Sprintf("/area-%d/resource-%04d/items/17", n%100, n)
				requests[i] = routing.Request{Host: "trails.example:8080", Method: "GET", Path: path}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if routing.Match(s, requests[i%len(requests)]) == nil {
					b.Fatal("no match")
				}
			}
		})
	}
}

func BenchmarkKeyLookup(b *testing.B) {
	for _, keys := range []int{420, 4200, 21000, 42000} {
		s := build(b, size{customers: 21000, keys: keys})
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			secrets := make([]string, 1024)
			for i := range secrets {
				secrets[i] = secretOf(i * 41 % keys)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := apikey.Verify(s, nil, secrets[i%len(secrets)]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkApplyOneChange(b *testing.B) {
	s := build(b, fullSize)
	for _, ref := range []catalogue.Ref{
		{Kind: catalogue.KindHost, ID: "host-0007"},
		{Kind: catalogue.KindRoute, ID: "route-0007"},
		{Kind: catalogue.KindCustomer, ID: "customer-00007"},
		{Kind: catalogue.KindKey, ID: fmt.Sprintf("key-%020d", 7)},
	} {
		b.Run("kind="+string(ref.Kind), func(b *testing.B) {
			current := s.Entry(ref)
			change := &catalogue.Change{Revision: 2, Edits: []catalogue.Edit{{Before: current, After: current}}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Apply(change); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDecodeFullSnapshot(b *testing.B) {
	data, err := codec.EncodeSnapshot(build(b, fullSize))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := codec.DecodeSnapshot(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "encoded-bytes")
}

// liveHeapBytes returns the bytes of live heap objects.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestFullSnapshotMemory guards against entries that grow until a full catalogue
// takes more than a quarter of the 64 MB that a daemon may use for control.
func TestFullSnapshotMemory(t *testing.T) {
	data, err := codec.EncodeSnapshot(build(t, fullSize))
	if err != nil {
		t.Fatal(err)
	}
	before := liveHeapBytes()
	s, err := codec.DecodeSnapshot(data)
	if err != nil {
		t.Fatal(err)
	}
	used := int64(liveHeapBytes()) - int64(before)
	runtime.KeepAlive(s)
	runtime.KeepAlive(data)
	t.Logf("full snapshot: %d bytes in memory, %d bytes encoded", used, len(data))
	if used > 16<<20 {
		t.Fatalf("%d bytes", used)
	}
}
