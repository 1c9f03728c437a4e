package ledger

import (
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// SealID names one sealing of a ledger; zero names none.
type SealID uint64

// ErrSeal reports that a later Seal or a Reopen ended the sealing, or that a handover is committed.
var ErrSeal = errors.New("ledger is not sealed under this id")

// Seal stops all runs, as the first step of a handover. Recorded answers are still given. The id of
// an earlier sealing becomes invalid. It returns zero when a handover is committed already.
func (l *Ledger) Seal() SealID {
	if l.phase != phaseActive && l.phase != phaseSealed {
		return 0
	}
	l.phase = phaseSealed
	l.seal++
	return l.seal
}

// sealedUnder reports whether the ledger is sealed with the id.
func (l *Ledger) sealedUnder(seal SealID) bool {
	return l.phase == phaseSealed && l.seal == seal
}

// Commit must be called before the receiver is told to activate its copy, with the id under which
// the copy was exported. It returns ErrSeal, and the receiver must not be told, when the sealing
// ended. After Commit the ledger returns to sealed only through Aborted.
func (l *Ledger) Commit(seal SealID) error {
	if !l.sealedUnder(seal) {
		return ErrSeal
	}
	l.phase = phaseCommitting
	return nil
}

// Aborted returns a committed handover to sealed. It must be called only with the receiver's
// word that it aborted and can never activate its copy.
func (l *Ledger) Aborted() {
	if l.phase == phaseCommitting {
		l.phase = phaseSealed
	}
}

// Reopen allows runs again in a ledger whose handover was not committed, or was aborted. It
// changes nothing when the sealing ended, and reports whether the ledger is active.
func (l *Ledger) Reopen(seal SealID) bool {
	if l.sealedUnder(seal) {
		l.phase = phaseActive
	}
	return l.phase == phaseActive
}

// HandOver records that the receiver holds the records now, and frees them here.
func (l *Ledger) HandOver(receiver id.HostID) {
	invariant.Check(l.phase == phaseCommitting || l.phase == phaseHandedOver, "ledger-handover-committed",
		"handover of %v ended in phase %d", l.at, l.phase)
	l.phase = phaseHandedOver
	l.receiver = receiver
	l.clear()
}

// Receiver returns the host to which the records were handed over; ok is false before that.
func (l *Ledger) Receiver() (host id.HostID, ok bool) {
	return l.receiver, l.phase == phaseHandedOver
}

// Over reports whether every ticket of a received ledger has expired, so that the ledger may be
// dropped. It is always false for a ledger that issues tickets.
func (l *Ledger) Over(now clock.Time) bool {
	return l.received && l.advance(now).Sub(l.receivedAt) >= l.settings.keep()
}

// Active reports whether the ledger may allow runs.
func (l *Ledger) Active() bool {
	return l.phase == phaseActive
}

// Manifest describes a ledger to the receiver before its records are sent.
func (l *Ledger) Manifest() Manifest {
	return Manifest{
		At:     l.at,
		Secret: l.secret,
		Window: l.settings.Window,
		Claims: len(l.index),
	}
}

// Completion describes the state after the last record was exported. The handover must be
// committed.
func (l *Ledger) Completion(now clock.Time) Completion {
	invariant.Check(l.phase == phaseCommitting, "ledger-completion-committed",
		"ledger %v completed in phase %d", l.at, l.phase)
	return Completion{LedgerTime: l.advance(now), NextSerial: l.nextSerial}
}
