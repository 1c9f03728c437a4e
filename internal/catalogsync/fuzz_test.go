package catalogsync_test

import (
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
)

// FuzzApplyDelta guards against a delta from a peer that makes the process
// panic, lowers the revision or makes a revoked key valid again.
func FuzzApplyDelta(f *testing.F) {
	meta := catalogue.Meta{Owner: "ops", Class: "standard"}
	key := &catalogue.Key{Meta: meta, ID: "k", Customer: "c", Hash: catalogue.KeyHash{1}}
	revoked := *key
	revoked.Revoked = true
	first := &catalogue.Change{Revision: 1, At: time.UnixMilli(0), Edits: []catalogue.Edit{{After: &revoked}}}
	seed, err := codec.EncodeChange(first)
	if err != nil {
		f.Fatal(err)
	}
	before := revoked
	before.Revision = 1
	restore := &catalogue.Change{Revision: 2, At: time.UnixMilli(0), Edits: []catalogue.Edit{{Before: &before, After: key}}}
	attack, err := codec.EncodeChange(restore)
	if err != nil {
		f.Fatal(err)
	}
	whole, err := catalogue.Build(5, catalogue.History{}, []catalogue.Entry{key})
	if err != nil {
		f.Fatal(err)
	}
	snapshot, err := codec.EncodeSnapshot(whole)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(attack, snapshot, uint64(5))
	f.Add(seed, []byte{}, uint64(1))
	f.Fuzz(func(t *testing.T, change, snapshot []byte, through uint64) {
		replica := catalogsync.NewReplica(nil)
		if err := replica.ApplyDelta(catalogsync.Delta{Changes: [][]byte{seed}, Through: 1}); err != nil {
			t.Fatal(err)
		}
		_ = replica.ApplyDelta(catalogsync.Delta{
			Changes: [][]byte{change}, Snapshot: snapshot, Through: catalogue.Revision(through),
		})
		current := replica.Snapshot()
		if current.Revision() < 1 || current.Key("k") == nil || !current.Key("k").Revoked {
			t.Fatalf("revision %d, key %v", current.Revision(), current.Key("k"))
		}
	})
}
