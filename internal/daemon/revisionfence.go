package daemon

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// revisionFence determines the settled catalogue revision, below which no holder can act any
// more. A revision is settled when more than half of the roster acknowledged it and the ownership
// fence has passed since; a holder that missed the revision is no longer confirmed by then.
type revisionFence struct {
	roster       ownership.Roster
	acknowledged map[id.HostID]catalogue.Revision
	// pending are the majorities whose fence may not have passed yet, oldest first.
	pending []revisionMajority
	settled catalogue.Revision
}

// revisionMajority is a revision and the time at which a majority had acknowledged it.
type revisionMajority struct {
	revision catalogue.Revision
	at       clock.Time
}

// setRoster replaces the roster and keeps the acknowledgements.
func (f *revisionFence) setRoster(roster ownership.Roster) {
	f.roster = roster
}

// acknowledge records that a host acts on a revision.
func (f *revisionFence) acknowledge(host id.HostID, revision catalogue.Revision, now clock.Time) {
	if f.acknowledged == nil {
		f.acknowledged = make(map[id.HostID]catalogue.Revision)
	}
	if f.acknowledged[host] >= revision {
		return
	}
	f.acknowledged[host] = revision
	if reached := f.majority(); reached > f.newestMajority() {
		f.pending = append(f.pending, revisionMajority{revision: reached, at: now})
	}
}

// majority returns the newest revision for which more than half of the roster acknowledged it or
// a later one.
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

// newestMajority returns the newest revision that reached a majority.
func (f *revisionFence) newestMajority() catalogue.Revision {
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
	for len(f.pending) > 0 && now.Sub(f.pending[0].at) >= ownership.FenceDuration {
		f.settle(f.pending[0].revision)
		f.pending = f.pending[1:]
	}
	return f.settled
}

// settle records a revision that is known to be settled.
func (f *revisionFence) settle(revision catalogue.Revision) {
	f.settled = max(f.settled, revision)
}
