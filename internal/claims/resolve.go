package claims

import (
	"bytes"

	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// applied records that an operation took effect at a revision.
func (s *Store) applied(o op, revision Revision) {
	e := o.entry
	if !s.current(e) {
		return
	}
	switch o.kind {
	case opClaim:
		e.revision = revision
		if e.phase == phaseSent {
			s.allow(e)
		}
	case opWrite:
		e.revision = revision
		s.written(e)
	case opRemove:
		s.drop(e)
	}
}

// allow permits the request of a committed claim to run, or finishes the claim as not run when
// no send waits for it any more.
func (s *Store) allow(e *entry) {
	invariant.Check(e.phase == phaseSent && s.running[e.serial] == nil, "claims-run-once",
		"claim %d allowed in phase %d", e.serial, e.phase)
	e.phase = phaseRunning
	s.running[e.serial] = e
	if !e.decide(ledger.Decision{Kind: ledger.Run, Claim: e.claimID()}) {
		s.finish(e.claimID(), ledger.NotRun(ledger.NeverDispatched))
	}
}

// written records that the table has an entry's outcome and schedules the removal of its row.
func (s *Store) written(e *entry) {
	if e.phase == phaseWithdrawn {
		e.phase, e.state = phaseEnded, rowReleased
	}
	e.dirty = false
	s.dropResponse(e)
	e.removeAt = s.clock.Now().Add(s.settings.Window)
	s.removals = append(s.removals, e)
}

// resolve handles an operation whose row has another revision than its condition requires.
func (s *Store) resolve(o op, row Row) {
	e := o.entry
	if !s.current(e) {
		return
	}
	v := decodeRow(row.Value)
	own := row.Revision != 0 && bytes.Equal(v.Claim, e.claim[:])
	switch o.kind {
	case opClaim:
		s.resolveClaim(e, o, row, v, own)
	case opWrite:
		s.resolveWrite(e, o, row, v, own)
	case opRemove:
		s.drop(e)
	}
}

// resolveClaim handles a claim that met another revision of its row. own says that the row holds
// this claim.
func (s *Store) resolveClaim(e *entry, o op, row Row, v rowValue, own bool) {
	switch {
	case own && v.State == rowClaimed:
		s.applied(o, row.Revision)
	case row.Revision == 0 || s.replaceable(v):
		e.revision = row.Revision
		s.requeue(o)
	case e.phase == phaseWithdrawn:
		// The withdrawn claim is resolved by the pending write.
	default:
		e.decide(s.answerRow(e, v))
		s.drop(e)
	}
}

// replaceable reports whether a claim may replace the row: its owner proved that nothing
// ran, or it is an earlier claim of this process. The process claims a key again only after
// it withdrew or released its earlier claim.
func (s *Store) replaceable(v rowValue) bool {
	if v.State == rowReleased {
		return true
	}
	return v.State == rowClaimed && v.Owner == s.owner && v.Incarnation == s.incarnation
}

// resolveWrite handles an outcome that met another revision of its row. own says that the row
// holds this claim.
func (s *Store) resolveWrite(e *entry, o op, row Row, v rowValue, own bool) {
	switch {
	case own && v.State == o.value.State:
		s.applied(o, row.Revision)
	case row.Revision == 0 || own:
		e.revision = row.Revision
		s.requeue(o)
	case e.phase == phaseWithdrawn && v.State == rowClaimed && s.replaceable(v):
		e.revision = row.Revision
		s.requeue(o)
	default:
		// A released or withdrawn claim was replaced by another one.
		s.drop(e)
	}
}

// answerRow decides a send from the row of another claim.
func (s *Store) answerRow(e *entry, v rowValue) ledger.Decision {
	if !bytes.Equal(v.Fingerprint, e.fingerprint[:]) {
		return ledger.Decision{Kind: ledger.KeyReused}
	}
	switch v.State {
	case rowRan:
		return ledger.Decision{Kind: ledger.Replay, Response: v.response()}
	case rowRanNotKept:
		return ledger.Decision{Kind: ledger.RanNotKept, Response: ledger.Response{Status: v.Status}}
	case rowClaimed:
		if s.alive(v.Owner, v.Incarnation) {
			return ledger.Decision{Kind: ledger.InProgress}
		}
	}
	return ledger.Decision{Kind: ledger.Unknown}
}
