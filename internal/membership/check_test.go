package membership_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/freshness"
)

// check asserts that no table claims more than what is true.
func (f *fleet) check(t *rapid.T) {
	for _, n := range f.nodes {
		f.recordState(n)
		f.confirm(t, n)
	}
	f.acknowledge()
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a != b {
				f.checkPair(t, a, b)
			}
		}
	}
}

// confirm confirms a process once it has heartbeats from a majority without itself, and asserts that
// whoever has heartbeats from a majority after an acknowledgement has the member.
func (f *fleet) confirm(t *rapid.T, n *node) {
	verdict := freshness.Evaluate(roster, n.table, f.localTime(n))
	if verdict.Basis == freshness.None {
		return
	}
	n.confirmed = true
	n.table.Confirm()
	majorityTime := time.Duration(verdict.Until.Add(-freshness.Window)) - n.offset
	for member, at := range f.acknowledged {
		if majorityTime > at && !slices.Contains(n.set.members, member) {
			t.Fatalf("%s has heartbeats from a majority at %v but lacks member %d, acknowledged at %v", n.host, majorityTime, member, at)
		}
	}
}

// acknowledge records the time at which confirmed processes on a majority of the roster first held a member.
func (f *fleet) acknowledge() {
	for member := 1; member <= f.lastMember; member++ {
		holders := 0
		for _, n := range f.nodes {
			if n.confirmed && slices.Contains(n.set.members, member) {
				holders++
			}
		}
		if _, known := f.acknowledged[member]; !known && holders > len(roster)/2 {
			f.acknowledged[member] = f.now
		}
	}
}

func (f *fleet) checkPair(t *rapid.T, a, b *node) {
	if r := a.table.Record(b.host); r != nil {
		if r.Incarnation > b.highest {
			t.Fatalf("%s has a record of %s that was never published", a.host, b.host)
		}
		if a.seen[b.host].Newer(r.Version()) {
			t.Fatalf("%s replaced the record of %s by an older one", a.host, b.host)
		}
		a.seen[b.host] = r.Version()
	}
	local, ok := a.table.CoveredAt(b.host, f.localTime(a))
	if !ok {
		return
	}
	at := time.Duration(local) - a.offset
	if at > b.lastSent {
		t.Fatalf("%s has a heartbeat of %s at %v; its last message was sent at %v", a.host, b.host, at, b.lastSent)
	}
	for _, h := range b.held {
		if h.from < at && h.to > f.now && !slices.Contains(a.set.members, h.member) {
			t.Fatalf("%s covers %s at %v but lacks member %d held from %v", a.host, b.host, at, h.member, h.from)
		}
	}
}
