package ledgerrun

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// maxLate bounds the outcomes that wait for the end of a handover.
const maxLate = 4096

// lateFinish is an outcome that the receiver of a handover may miss.
type lateFinish struct {
	claim   ledger.ClaimID
	outcome ledger.Outcome
}

// held is one ledger with its lock.
type held struct {
	clock clock.Clock
	// moved is called without the lock when the ledger was handed over.
	moved func(id.HostID, []lateFinish)

	mu     sync.Mutex
	ledger *ledger.Ledger
	late   []lateFinish
}

var _ handover.Records = (*held)(nil)

// begin decides one send.
func (h *held) begin(customer id.CustomerID, ticket, fingerprint string) ledger.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Begin(customer, ticket, fingerprint, h.clock.Now())
}

// finish ends a claim. The host is set for Moved.
func (h *held) finish(claim ledger.ClaimID, outcome ledger.Outcome) (ledger.FinishResult, id.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := h.ledger.Finish(claim, outcome, h.clock.Now())
	if result == ledger.RecordedSealed && len(h.late) < maxLate {
		h.late = append(h.late, lateFinish{claim: claim, outcome: outcome})
	}
	receiver, _ := h.ledger.Receiver()
	return result, receiver
}

// issue returns the text of a new ticket.
func (h *held) issue(customer id.CustomerID, random ledger.Random) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Issue(customer, random, h.clock.Now())
}

// size returns the number of claims and whether the ledger decides here.
func (h *held) size() (claims int, here bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, moved := h.ledger.Receiver()
	return h.ledger.Len(), !moved
}

// active reports whether tickets may run here.
func (h *held) active() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Active()
}

// over expires claims and reports whether the ledger may be dropped.
func (h *held) over() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Expire(h.clock.Now())
	return h.ledger.CanDrop(h.clock.Now())
}

// Seal implements handover.Records.
func (h *held) Seal() ledger.SealID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Seal()
}

// Manifest implements handover.Records.
func (h *held) Manifest() ledger.Manifest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Manifest()
}

// Export implements handover.Records.
func (h *held) Export(seal ledger.SealID, from ledger.Cursor, limit int) ([]ledger.Record, ledger.Cursor, bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Export(seal, from, limit)
}

// Completion implements handover.Records.
func (h *held) Completion() ledger.Completion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Completion(h.clock.Now())
}

// Commit implements handover.Records.
func (h *held) Commit(seal ledger.SealID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Commit(seal)
}

// Aborted implements handover.Records.
func (h *held) Aborted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Aborted()
}

// Reopen implements handover.Records.
func (h *held) Reopen(seal ledger.SealID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ledger.Reopen(seal) {
		return false
	}
	h.late = nil
	return true
}

// HandOver implements handover.Records.
func (h *held) HandOver(receiver id.HostID) {
	h.mu.Lock()
	h.ledger.HandOver(receiver)
	late := h.late
	h.late = nil
	h.mu.Unlock()
	h.moved(receiver, late)
}
