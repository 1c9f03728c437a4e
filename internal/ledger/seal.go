package ledger

import (
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// SealID identifies one call of Seal; zero is not a valid id.
type SealID uint64

// ErrSeal reports that the id is no longer valid: the ledger was sealed again or reopened, or a
// handover is committed.
var ErrSeal = errors.New("ledger is not sealed under this id")

// Seal stops the ledger from allowing runs, as the first step of a handover. Recorded responses are
// still replayed. The id of an earlier call becomes invalid. It returns zero when a handover is
// committed already.
func (l *Ledger) Seal() SealID {
	if l.phase != phaseActive && l.phase != phaseSealed {
		return 0
	}
	l.phase = phaseSealed
	l.seal++
	return l.seal
}

// sealedUnder reports whether the ledger is sealed under the id.
func (l *Ledger) sealedUnder(seal SealID) bool {
	return l.phase == phaseSealed && l.seal == seal
}

// Commit must be called before the receiver is told to activate its copy, with the id under which
// the copy was exported. If the id is no longer valid it returns ErrSeal, and the receiver must not
// be told. After Commit only Aborted returns the ledger to sealed.
func (l *Ledger) Commit(seal SealID) error {
	if !l.sealedUnder(seal) {
		return ErrSeal
	}
	l.phase = phaseCommitting
	return nil
}

// Aborted returns the ledger from committed to sealed. It must be called only when the receiver has
// confirmed that it aborted the handover and can never activate its copy.
func (l *Ledger) Aborted() {
	if l.phase == phaseCommitting {
		l.phase = phaseSealed
	}
}

// Reopen makes a ledger active again whose handover was not committed, or was aborted. It changes
// nothing when the id is no longer valid. It reports whether the ledger is active.
func (l *Ledger) Reopen(seal SealID) bool {
	if l.sealedUnder(seal) {
		l.phase = phaseActive
	}
	return l.phase == phaseActive
}

// HandOver records that the receiver now holds the records, and frees them here. The handover must
// be committed.
func (l *Ledger) HandOver(receiver id.HostID) {
	invariant.Check(l.phase == phaseCommitting || l.phase == phaseHandedOver, "ledger-handover-committed",
		"handover of %v ended in phase %d", l.location, l.phase)
	l.phase = phaseHandedOver
	l.receiver = receiver
	l.clear()
}

// Receiver returns the host to which the records were handed over; ok is false before HandOver.
func (l *Ledger) Receiver() (host id.HostID, ok bool) {
	return l.receiver, l.phase == phaseHandedOver
}

// CanDrop reports whether every ticket of a received ledger has expired, so that the ledger is no
// longer needed. It is always false for a ledger that was not received, because it issues tickets.
func (l *Ledger) CanDrop(now clock.Time) bool {
	return l.received && l.advance(now).Sub(l.receivedAt) >= l.settings.retention()
}

// Active reports whether the ledger allows runs.
func (l *Ledger) Active() bool {
	return l.phase == phaseActive
}

// Manifest describes a ledger to the receiver before its records are sent.
func (l *Ledger) Manifest() Manifest {
	return Manifest{
		At:     l.location,
		Secret: l.secret,
		Window: l.settings.Window,
		Claims: len(l.index),
	}
}

// Completion describes the state after the last record was exported. The handover must be
// committed.
func (l *Ledger) Completion(now clock.Time) Completion {
	invariant.Check(l.phase == phaseCommitting, "ledger-completion-committed",
		"ledger %v completed in phase %d", l.location, l.phase)
	return Completion{LedgerTime: l.advance(now), NextSerial: l.nextSerial}
}
