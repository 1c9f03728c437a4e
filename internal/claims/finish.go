package claims

import (
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// Finish ends a claim. The outcome is answered at once by this daemon and written to the
// table with a later commit. A repeated Finish changes nothing.
func (s *Store) Finish(claim ledger.ClaimID, outcome ledger.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(claim, outcome)
}

// finish is Finish with the lock held.
func (s *Store) finish(claim ledger.ClaimID, outcome ledger.Outcome) {
	e := s.running[claim.Serial]
	if e == nil || claim != e.claimID() {
		return
	}
	delete(s.running, claim.Serial)
	e.phase = phaseEnded
	e.state = endState(outcome)
	if e.state == rowRan || e.state == rowRanNotKept {
		s.keepResponse(e, outcome.Response)
	}
	s.markDirty(e)
}

// endState returns the row state for an outcome.
func endState(outcome ledger.Outcome) rowState {
	switch outcome.Result {
	case ledger.OutcomeRan:
		return rowRan
	case ledger.OutcomeRanNotKept:
		return rowRanNotKept
	case ledger.OutcomeNotRun:
		if outcome.Proof != ledger.NoProof {
			return rowReleased
		}
	}
	return rowUnknown
}

// keepResponse keeps a response for the row when it fits the limits, and else its status.
func (s *Store) keepResponse(e *entry, r ledger.Response) {
	size := responseSize(r)
	if e.state == rowRan && size <= s.settings.MaxResponseBytes && s.pendingBytes+size <= s.settings.MaxPendingBytes {
		if r.Body == nil {
			r.Body = []byte{}
		}
		e.response, e.pendingBytes = r, size
		s.pendingBytes += size
		return
	}
	e.state = rowRanNotKept
	e.response = ledger.Response{Status: r.Status}
}

// responseSize returns the bytes of text in a response.
func responseSize(r ledger.Response) int {
	n := len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// forgetResponse drops a response that the row has.
func (s *Store) forgetResponse(e *entry) {
	s.pendingBytes -= e.pendingBytes
	e.pendingBytes = 0
	e.response = ledger.Response{Status: e.response.Status}
}

// markDirty queues the write of an entry's outcome.
func (s *Store) markDirty(e *entry) {
	if !e.dirty {
		e.dirty = true
		s.writes = append(s.writes, e)
	}
	s.signal()
}

// withdraw refuses a send whose claim is not resolved. Nothing was dispatched for it.
func (s *Store) withdraw(e *entry) {
	e.decide(ledger.Decision{Kind: ledger.StoreUnavailable})
	e.decided = nil
	if e.phase == phaseQueued && !e.inherits {
		s.forget(e)
		return
	}
	e.phase = phaseWithdrawn
	s.markDirty(e)
}

// forget drops an entry that is its key's current one.
func (s *Store) forget(e *entry) {
	if s.current(e) {
		delete(s.entries, e.hash)
	}
	s.forgetResponse(e)
	e.dirty = false
}

// current reports whether the entry is its key's newest.
func (s *Store) current(e *entry) bool {
	return s.entries[e.hash] == e
}

// claimID returns the name of the claim outside of this package.
func (e *entry) claimID() ledger.ClaimID {
	return ledger.ClaimID{Key: [16]byte(e.hash[:16]), Serial: e.serial}
}
