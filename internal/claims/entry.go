package claims

import (
	"crypto/sha256"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// phase is the progress of this daemon's newest claim on a key.
type phase uint8

const (
	// phaseQueued means that the claim was not yet sent to the table.
	phaseQueued phase = iota
	// phaseSent means that the claim is part of a commit whose outcome is not known.
	phaseSent
	// phaseRunning means that the claim is in the table and the request may be dispatched.
	phaseRunning
	// phaseEnded means that the outcome is known; the table may not have it yet.
	phaseEnded
	// phaseWithdrawn means that nothing was or will be dispatched, but that the row may be
	// in state claimed, now or later.
	phaseWithdrawn
)

// entry is the store's record of this daemon's newest claim on one key.
type entry struct {
	hash        keyHash
	claim       claimID
	serial      uint64
	fingerprint [sha256.Size]byte
	phase       phase
	// revision is the condition of the next write: the row's last known revision.
	revision Revision
	deadline clock.Time
	// decided receives the decision for the waiting send; nil when no send waits.
	decided chan ledger.Decision
	// replacesClaim means that the claim replaced an earlier one of this daemon, whose row may
	// still be in state claimed.
	replacesClaim bool
	// uncertain means that an earlier commit with the claim has an unknown outcome.
	uncertain bool
	// dirty means that the outcome must be written.
	dirty    bool
	state    rowState
	response ledger.Response
	// pendingBytes is the part of the store's limit that response uses.
	pendingBytes int
	// removeAt is the time at which the row may be removed, once the outcome is written.
	removeAt clock.Time
}

// value returns the row that records the entry.
func (e *entry) value(s *Store) rowValue {
	v := rowValue{
		State: rowClaimed, Owner: s.owner, Incarnation: s.incarnation,
		Claim: e.claim[:], Fingerprint: e.fingerprint[:],
	}
	switch e.phase {
	case phaseWithdrawn:
		v.State = rowReleased
	case phaseEnded:
		v.State = e.state
		v.Status, v.Header, v.Body = e.response.Status, e.response.Header, e.response.Body
	}
	return v
}

// answer decides a send from the daemon's own claim. ok is false when the key may be
// claimed again. The response of a Replay with a nil body must be read from the row.
func (e *entry) answer(fingerprint [sha256.Size]byte) (d ledger.Decision, ok bool) {
	if e.fingerprint != fingerprint {
		return ledger.Decision{Kind: ledger.KeyReused}, true
	}
	switch {
	case e.phase == phaseWithdrawn, e.phase == phaseEnded && e.state == rowReleased:
		return ledger.Decision{}, false
	case e.phase != phaseEnded:
		return ledger.Decision{Kind: ledger.InProgress}, true
	case e.state == rowRan:
		return ledger.Decision{Kind: ledger.Replay, Response: e.response}, true
	case e.state == rowRanNotKept:
		return ledger.Decision{Kind: ledger.RanNotKept, Response: e.response}, true
	}
	return ledger.Decision{Kind: ledger.Unknown}, true
}

// decide passes the decision to the waiting send and reports whether one was waiting.
func (e *entry) decide(d ledger.Decision) bool {
	if e.decided == nil {
		return false
	}
	e.decided <- d
	e.decided = nil
	return true
}
