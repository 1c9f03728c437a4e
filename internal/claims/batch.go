package claims

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// opKind is the kind of one row's change in a commit.
type opKind uint8

const (
	opClaim opKind = iota
	opWrite
	opRemove
)

// op is the change of one row in a commit.
type op struct {
	kind      opKind
	entry     *entry
	condition Revision
	value     rowValue
}

// batch is the content of one commit.
type batch []op

// txn returns the transaction of a batch.
func (b batch) txn() Txn {
	var t Txn
	for _, o := range b {
		key := o.entry.hash.rowKey()
		t.Conditions = append(t.Conditions, Condition{Key: key, Revision: o.condition})
		if o.kind == opRemove {
			t.Deletes = append(t.Deletes, key)
			continue
		}
		t.Puts = append(t.Puts, Put{Key: key, Value: o.value.encode()})
	}
	return t
}

// keys returns the row names of a batch.
func (b batch) keys() []string {
	keys := make([]string, len(b))
	for i, o := range b {
		keys[i] = o.entry.hash.rowKey()
	}
	return keys
}

// nextBatch takes the operations of the next commit from the queues. Claims come first, but
// leave a quarter of the batch to queued writes.
func (s *Store) nextBatch(now clock.Time) batch {
	claimLimit := s.settings.BatchSize
	if len(s.writes) > 0 {
		claimLimit -= s.settings.BatchSize / 4
	}
	var b batch
	for len(s.claims) > 0 && len(b) < claimLimit {
		e := s.claims[0]
		s.claims = s.claims[1:]
		if !s.current(e) || (e.phase != phaseQueued && e.phase != phaseSent) {
			continue
		}
		e.phase = phaseSent
		b = append(b, op{kind: opClaim, entry: e, condition: e.revision, value: e.value(s)})
	}
	for len(s.writes) > 0 && len(b) < s.settings.BatchSize {
		e := s.writes[0]
		s.writes = s.writes[1:]
		if s.current(e) && e.dirty {
			b = append(b, op{kind: opWrite, entry: e, condition: e.revision, value: e.value(s)})
		}
	}
	for len(s.removals) > 0 && len(b) < s.settings.BatchSize && !now.Before(s.removals[0].removeAt) {
		e := s.removals[0]
		s.removals = s.removals[1:]
		if s.current(e) {
			b = append(b, op{kind: opRemove, entry: e, condition: e.revision})
		}
	}
	return b
}

// requeue puts an operation back into its queue for a later commit.
func (s *Store) requeue(o op) {
	e := o.entry
	if !s.current(e) {
		return
	}
	switch o.kind {
	case opClaim:
		if e.phase == phaseSent {
			s.claims = append(s.claims, e)
		}
	case opWrite:
		s.writes = append(s.writes, e)
	case opRemove:
		s.removals = append([]*entry{e}, s.removals...)
	}
}
