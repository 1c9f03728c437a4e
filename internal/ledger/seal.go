package ledger

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Seal stops all runs, as the first step of a handover. Recorded answers are still given.
func (l *Ledger) Seal() {
	if l.phase == phaseActive {
		l.phase = phaseSealed
	}
}

// Commit must be called before the receiver is told to activate its copy. From
// then on the ledger is reopened only with the receiver's word that it aborted.
func (l *Ledger) Commit() {
	invariant.Check(l.phase == phaseSealed || l.phase == phaseCommitting, "ledger-commit-sealed",
		"handover of %v committed in phase %d", l.at, l.phase)
	l.phase = phaseCommitting
}

// Reopen allows runs again after a handover that the receiver cannot complete:
// either Commit was not called, or the receiver aborted it. A ledger that was
// handed over stays closed. It reports whether the ledger is active.
func (l *Ledger) Reopen(receiverAborted bool) bool {
	if l.phase == phaseSealed || (l.phase == phaseCommitting && receiverAborted) {
		l.phase = phaseActive
	}
	return l.phase == phaseActive
}

// HandOver records that the receiver holds the records now.
func (l *Ledger) HandOver(receiver id.HostID) {
	invariant.Check(l.phase == phaseCommitting || l.phase == phaseHandedOver, "ledger-handover-committed",
		"handover of %v ended in phase %d", l.at, l.phase)
	l.phase = phaseHandedOver
	l.receiver = receiver
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

// Completion describes the state after the last record was exported. The
// ledger must be sealed.
func (l *Ledger) Completion(now clock.Time) Completion {
	invariant.Check(l.phase != phaseActive, "ledger-export-sealed", "active ledger %v exported", l.at)
	return Completion{LedgerTime: l.advance(now), NextSerial: l.nextSerial}
}
