package codec_test

import (
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
)

// sample returns one entry of each kind.
func sample() []catalogue.Entry {
	meta := catalogue.Meta{Owner: "ops", Class: "standard", Revision: 3, Created: 2}
	return []catalogue.Entry{
		&catalogue.Host{Meta: meta, ID: "h", FailureDomain: "fd"},
		&catalogue.Service{
			Meta: meta, Name: "s", MinHealthyFraction: 0.5, QueueLimit: 10, QueueLimitPerCustomer: 5,
			RequestTimeout: time.Second, ProgressTimeout: time.Second, MaxBodyBytes: 5,
		},
		&catalogue.Customer{Meta: meta, ID: "c", RatePerSecond: 1.5, Burst: 3, Weight: 1},
		&catalogue.Route{Meta: meta, ID: "r", Service: "s", PathPrefix: "/a", Methods: []string{"GET"}, OpenToAll: true},
		&catalogue.Key{Meta: meta, ID: "k", Customer: "c", Hash: catalogue.KeyHash{1}, Revoked: true},
	}
}

// TestRoundTrip guards against a field that is lost by encoding and decoding.
func TestRoundTrip(t *testing.T) {
	snapshot, err := catalogue.Build(4, catalogue.History{Roster: 3, PreviousRoster: 2, CustomerRemoval: 1}, sample())
	if err != nil {
		t.Fatal(err)
	}
	data, err := codec.EncodeSnapshot(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	again, err := codec.DecodeSnapshot(data)
	if err != nil {
		t.Fatal(err)
	}
	if last, previous := again.RosterRevisions(); last != 3 || previous != 2 {
		t.Fatalf("roster revisions %d and %d", last, previous)
	}
	if again.CustomerRemoval() != 1 {
		t.Fatalf("customer removal %d", again.CustomerRemoval())
	}
	if again.Revision() != 4 {
		t.Fatalf("revision %d", again.Revision())
	}
	change := &catalogue.Change{Revision: 9, ID: "id", Operator: "op", At: time.UnixMilli(5).UTC(), Why: "w"}
	for i, entry := range snapshot.Sorted() {
		got := again.Sorted()[i]
		if !catalogue.SameContent(entry, got) || got.Common() != entry.Common() {
			t.Fatalf("%v became %v", entry, got)
		}
		change.Edits = append(change.Edits, catalogue.Edit{Before: entry, After: entry})
	}
	data, err = codec.EncodeChange(change)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := codec.DecodeChange(data)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.ID != change.ID || !decoded.At.Equal(change.At) || decoded.Why != "w" || len(decoded.Edits) != 5 {
		t.Fatalf("%v became %v", change, decoded)
	}
}

// FuzzDecode guards against panics on messages from other processes, and against
// invalid entries that are accepted.
func FuzzDecode(f *testing.F) {
	snapshot, _ := catalogue.Build(4, catalogue.History{}, sample())
	data, _ := codec.EncodeSnapshot(snapshot)
	f.Add(data)
	data, _ = codec.EncodeChange(&catalogue.Change{Revision: 1, Edits: []catalogue.Edit{{After: sample()[0]}}})
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := codec.DecodeSnapshot(data); err == nil {
			for entry := range s.All() {
				if problems := catalogue.Validate(entry); len(problems) > 0 {
					t.Fatal(problems)
				}
			}
		}
		if change, err := codec.DecodeChange(data); err == nil {
			_, _ = catalogue.Empty().Apply(change)
		}
	})
}
