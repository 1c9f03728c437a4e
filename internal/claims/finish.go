package claims

import (
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// Finish records the outcome of a claim. This daemon uses it at once to answer resends; a
// later commit writes it to the table. A second Finish of the same claim has no effect.
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

// keepResponse keeps a response until it is written to the row, or only its status when it
// exceeds the limits.
func (s *Store) keepResponse(e *entry, r ledger.Response) {
	size := responseSize(r)
	if e.state == rowRan && size <= s.settings.MaxResponseBytes && s.pendingBytes+size <= s.settings.MaxPendingBytes {
		// A nil body would mean that only the row has the response.
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

// responseSize returns the size of a response's headers and body in bytes.
func responseSize(r ledger.Response) int {
	n := len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// dropResponse frees an entry's response and keeps only its status.
func (s *Store) dropResponse(e *entry) {
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

// withdraw ends a claim that is not resolved and refuses its send. Nothing was dispatched for it.
func (s *Store) withdraw(e *entry) {
	e.decide(ledger.Decision{Kind: ledger.StoreUnavailable})
	e.decided = nil
	if e.phase == phaseQueued && !e.replacesClaim {
		s.drop(e)
		return
	}
	e.phase = phaseWithdrawn
	s.markDirty(e)
}

// drop removes an entry from the store.
func (s *Store) drop(e *entry) {
	if s.current(e) {
		delete(s.entries, e.hash)
	}
	s.dropResponse(e)
	e.dirty = false
}

// current reports whether the entry is its key's newest.
func (s *Store) current(e *entry) bool {
	return s.entries[e.hash] == e
}

// claimID returns the id under which callers of the store finish the claim.
func (e *entry) claimID() ledger.ClaimID {
	return ledger.ClaimID{Key: [16]byte(e.hash[:16]), Serial: e.serial}
}
