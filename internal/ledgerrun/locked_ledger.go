package ledgerrun

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// maxSealedFinishes is the maximum number of outcomes kept until the end of a handover; further ones
// are not sent to the receiver.
const maxSealedFinishes = 4096

// finishCall is an outcome of a claim that may have to be sent to another daemon.
type finishCall struct {
	claim   ledger.ClaimID
	outcome ledger.Outcome
}

// lockedLedger is a ledger with a lock.
type lockedLedger struct {
	clock clock.Clock
	// onHandedOver is called without the lock after the ledger was handed over. It gets the
	// receiver and the outcomes that the receiver's copy may lack.
	onHandedOver func(id.HostID, []finishCall)

	mu             sync.Mutex
	ledger         *ledger.Ledger
	sealedFinishes []finishCall
}

var _ handover.Ledger = (*lockedLedger)(nil)

// begin decides one send.
func (l *lockedLedger) begin(customer id.CustomerID, ticket, fingerprint string) ledger.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Begin(customer, ticket, fingerprint, l.clock.Now())
}

// finish ends a claim. The host is the receiver of the records for Moved, otherwise empty.
func (l *lockedLedger) finish(claim ledger.ClaimID, outcome ledger.Outcome) (ledger.FinishResult, id.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := l.ledger.Finish(claim, outcome, l.clock.Now())
	if result == ledger.RecordedSealed && len(l.sealedFinishes) < maxSealedFinishes {
		l.sealedFinishes = append(l.sealedFinishes, finishCall{claim: claim, outcome: outcome})
	}
	receiver, _ := l.ledger.Receiver()
	return result, receiver
}

// issue returns the text of a new ticket.
func (l *lockedLedger) issue(customer id.CustomerID, random ledger.Random) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Issue(customer, random, l.clock.Now())
}

// size returns the number of claims; local is false if the ledger was handed over.
func (l *lockedLedger) size() (claims int, local bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, moved := l.ledger.Receiver()
	return l.ledger.Len(), !moved
}

// active reports whether the ledger allows runs.
func (l *lockedLedger) active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Active()
}

// expire drops expired claims and reports whether the ledger is no longer needed.
func (l *lockedLedger) expire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Expire(l.clock.Now())
	return l.ledger.CanDrop(l.clock.Now())
}

// Seal implements handover.Ledger.
func (l *lockedLedger) Seal() ledger.SealID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Seal()
}

// Manifest implements handover.Ledger.
func (l *lockedLedger) Manifest() ledger.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Manifest()
}

// Export implements handover.Ledger.
func (l *lockedLedger) Export(seal ledger.SealID, from ledger.Cursor, limit int) ([]ledger.Record, ledger.Cursor, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Export(seal, from, limit)
}

// Completion implements handover.Ledger.
func (l *lockedLedger) Completion() ledger.Completion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Completion(l.clock.Now())
}

// Commit implements handover.Ledger.
func (l *lockedLedger) Commit(seal ledger.SealID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Commit(seal)
}

// Aborted implements handover.Ledger.
func (l *lockedLedger) Aborted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Aborted()
}

// Reopen implements handover.Ledger.
func (l *lockedLedger) Reopen(seal ledger.SealID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ledger.Reopen(seal) {
		return false
	}
	l.sealedFinishes = nil
	return true
}

// HandOver implements handover.Ledger.
func (l *lockedLedger) HandOver(receiver id.HostID) {
	l.mu.Lock()
	l.ledger.HandOver(receiver)
	late := l.sealedFinishes
	l.sealedFinishes = nil
	l.mu.Unlock()
	l.onHandedOver(receiver, late)
}
