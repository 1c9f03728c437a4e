package daemon

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// revisionFence tells of which catalogue revision no older one can be acted on:
// more than half of the roster acknowledged it, and then the fence passed. A
// holder that missed the revision is no longer confirmed by then.
type revisionFence struct {
	roster       ownership.Roster
	acknowledged map[id.HostID]catalogue.Revision
	// pending are majorities in the order of their time.
	pending []revisionMajority
	settled catalogue.Revision
}

// revisionMajority is a revision that a majority acknowledged at a time.
type revisionMajority struct {
	revision catalogue.Revision
	at       clock.Time
}

// setRoster replaces the roster; acknowledgements count for the new one too.
func (f *revisionFence) setRoster(roster ownership.Roster) {
	f.roster = roster
}

// acknowledge notes that a host acts on a revision.
func (f *revisionFence) acknowledge(host id.HostID, revision catalogue.Revision, now clock.Time) {
	if f.acknowledged == nil {
		f.acknowledged = make(map[id.HostID]catalogue.Revision)
	}
	if f.acknowledged[host] >= revision {
		return
	}
	f.acknowledged[host] = revision
	if reached := f.majority(); reached > f.newest() {
		f.pending = append(f.pending, revisionMajority{revision: reached, at: now})
	}
}

// majority returns the newest revision that more than half of the roster acts on, or a later one.
func (f *revisionFence) majority() catalogue.Revision {
	if len(f.roster.Members) == 0 {
		return 0
	}
	revisions := make([]catalogue.Revision, 0, len(f.roster.Members))
	for _, member := range f.roster.Members {
		revisions = append(revisions, f.acknowledged[member.Host])
	}
	slices.Sort(revisions)
	return revisions[len(revisions)-f.roster.Majority()]
}

// newest returns the newest revision that reached a majority.
func (f *revisionFence) newest() catalogue.Revision {
	if len(f.pending) == 0 {
		return f.settled
	}
	return f.pending[len(f.pending)-1].revision
}

// isSettled reports whether a revision is settled at now.
func (f *revisionFence) isSettled(revision catalogue.Revision, now clock.Time) bool {
	return f.settledAt(now) >= revision
}

// settledAt returns the newest settled revision at now.
func (f *revisionFence) settledAt(now clock.Time) catalogue.Revision {
	for len(f.pending) > 0 && now.Sub(f.pending[0].at) >= ownership.Fence {
		f.settle(f.pending[0].revision)
		f.pending = f.pending[1:]
	}
	return f.settled
}

// settle notes a revision that is known to be settled.
func (f *revisionFence) settle(revision catalogue.Revision) {
	f.settled = max(f.settled, revision)
}
