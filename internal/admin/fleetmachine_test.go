package admin

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// runFleet drives a fleet through random operations and faults, ends the
// faults, and checks that all daemons converge to exactly the accepted changes.
func runFleet(t *rapid.T, disabled disabledMechanisms) {
	f := &fleet{memory: platform.NewMemory(), disabled: disabled}
	for range 4 {
		f.daemons = append(f.daemons, f.newDaemon())
	}
	ctx := context.Background()
	t.Repeat(map[string]func(*rapid.T){
		"":        f.checkMonotonic,
		"request": func(t *rapid.T) { f.send(t, f.drawDaemon(t), f.newRequest(t)) },
		"retry": func(t *rapid.T) {
			if len(f.requests) == 0 {
				t.Skip("nothing to retry")
			}
			f.send(t, f.drawDaemon(t), rapid.SampledFrom(f.requests).Draw(t, "request"))
		},
		"poll": func(t *rapid.T) { _ = f.drawDaemon(t).sync.Poll(ctx) },
		"fault": func(t *rapid.T) {
			table := f.drawDaemon(t).table
			table.down = rapid.Bool().Draw(t, "down")
			table.loseResponses = rapid.SampledFrom([]int{0, 1, 2, 20}).Draw(t, "lose")
			table.holdWrites = rapid.SampledFrom([]int{0, 1, 2, 20}).Draw(t, "hold")
			table.refuseWrites = rapid.IntRange(0, 1).Draw(t, "refuse")
		},
		"outage": func(t *rapid.T) {
			down := rapid.Bool().Draw(t, "down")
			for _, d := range f.daemons {
				d.table.down = down
			}
		},
		"release": func(t *rapid.T) { f.drawDaemon(t).table.release() },
		"exchange": func(t *rapid.T) {
			from, to := f.drawDaemon(t), f.drawDaemon(t)
			delta, err := from.sync.DeltaSince(to.sync.Snapshot().Revision())
			if err != nil {
				t.Fatal(err)
			}
			f.deltas = append(f.deltas, delta)
			if err := to.sync.ApplyDelta(delta); err != nil {
				t.Fatal(err)
			}
			_, _ = to.emergency.Merge(from.emergency.Records())
		},
		"old message": func(t *rapid.T) {
			if len(f.deltas) == 0 {
				t.Skip("no message yet")
			}
			_ = f.drawDaemon(t).sync.ApplyDelta(rapid.SampledFrom(f.deltas).Draw(t, "delta"))
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(f.daemons)-1).Draw(t, "daemon")
			f.daemons[i].table.release()
			f.daemons[i] = f.newDaemon()
		},
		"flush": func(t *rapid.T) {
			d := f.drawDaemon(t)
			_ = NewFlusher(d.editor, d.emergency, zerolog.Nop()).Flush(ctx)
		},
	})
	f.heal(t)
	f.checkLog(t)
}

// heal ends all faults, retries every request, flushes, and synchronizes all daemons.
func (f *fleet) heal(t *rapid.T) {
	ctx := context.Background()
	for _, d := range f.daemons {
		d.table.down, d.table.loseResponses, d.table.holdWrites, d.table.refuseWrites = false, 0, 0, 0
		d.table.release()
	}
	f.checkRefusals(t)
	for _, r := range f.requests {
		f.send(t, f.daemons[0], r)
	}
	for _, d := range f.daemons {
		if err := NewFlusher(d.editor, d.emergency, zerolog.Nop()).Flush(ctx); err != nil {
			t.Fatal(err)
		}
	}
	for i, d := range f.daemons {
		if i%2 == 0 {
			if err := d.sync.Poll(ctx); err != nil {
				t.Fatal(err)
			}
			continue
		}
		delta, err := f.daemons[0].sync.DeltaSince(d.sync.Snapshot().Revision())
		if err != nil {
			t.Fatal(err)
		}
		if err := d.sync.ApplyDelta(delta); err != nil {
			t.Fatal(err)
		}
	}
	f.checkMonotonic(t)
}

// checkRefusals checks that a change is not in the audit trail if every response
// to its operator said that nothing was changed.
func (f *fleet) checkRefusals(t *rapid.T) {
	store := cataloguestore.New(f.memory.Table(), f.memory.Objects())
	for _, r := range f.requests {
		state, err := store.Read(context.Background(), "op", catalogue.ChangeID(r.id), nil)
		if err != nil {
			t.Fatal(err)
		}
		if state.Accepted != 0 && r.accepted == 0 && !r.unknown && !r.emergencyEntered {
			t.Fatalf("%s: accepted at %d, but the operator was told that nothing was changed", r.id, state.Accepted)
		}
	}
}

// checkLog checks that the audit trail has one record per accepted change and
// that replaying it yields the copy of every daemon.
func (f *fleet) checkLog(t *rapid.T) {
	store := cataloguestore.New(f.memory.Table(), f.memory.Objects())
	records, _, err := store.Changes(context.Background(), 0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	replayed := catalogsync.NewReplica(nil)
	if err := replayed.ApplyRecords(records); err != nil {
		t.Fatal(err)
	}
	revisionOf := map[catalogue.ChangeID]uint64{}
	for _, record := range records {
		if other := revisionOf[record.Change.ID]; other != 0 {
			t.Fatalf("%s was accepted at %d and at %d", record.Change.ID, other, record.Change.Revision)
		}
		revisionOf[record.Change.ID] = uint64(record.Change.Revision)
	}
	for _, r := range f.requests {
		if r.accepted != revisionOf[catalogue.ChangeID(r.id)] {
			t.Fatalf("%s: operator was told revision %d, the trail has %d", r.id, r.accepted, revisionOf[catalogue.ChangeID(r.id)])
		}
	}
	f.compare(t, replayed.Snapshot())
}

// compare checks every daemon's copy against the replayed trail.
func (f *fleet) compare(t *rapid.T, want *catalogue.Snapshot) {
	expected := want.Sorted()
	for i, d := range f.daemons {
		got := d.sync.Snapshot()
		if got.Revision() != want.Revision() {
			t.Fatalf("daemon %d is at %d, the trail at %d", i, got.Revision(), want.Revision())
		}
		entries := got.Sorted()
		if len(entries) != len(expected) {
			t.Fatalf("daemon %d has %d entries, the trail %d", i, len(entries), len(expected))
		}
		for n := range entries {
			sameRevision := entries[n].Common().Revision == expected[n].Common().Revision
			if !sameRevision || !catalogue.SameContent(entries[n], expected[n]) {
				t.Fatalf("daemon %d: %s differs from the trail", i, entries[n].Ref())
			}
		}
		for _, record := range d.emergency.Records() {
			if key := got.Key(record.Key); key != nil && !key.Revoked {
				t.Fatalf("daemon %d: emergency revocation of %s was not written", i, record.Key)
			}
		}
	}
}

// TestFleet guards against accepted changes that are lost, reverted, applied
// twice or out of order, against responses to operators that contradict the
// audit trail, and against a revoked key that becomes valid again.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runFleet(t, disabledMechanisms{}) })
}
