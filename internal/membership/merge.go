package membership

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// compare returns the updates that the owner of a digest lacks and the keys of the hosts whose
// records are newer there. Hosts whose keys are ambiguous are sent whole. The sender's own
// incarnation is compared in full, because tags of different incarnations can be equal.
func (t *Table) compare(sender Sender, hosts []id.HostID, d Digest, now clock.Time) (updates []Update, wanted []Wanted) {
	listed := make(map[id.HostID]bool, len(hosts))
	for i, host := range hosts {
		if host == "" {
			if t.isUnknownKey(d, i) {
				wanted = append(wanted, Wanted{Key: d.Keys[i]})
			}
			continue
		}
		listed[host] = true
		record := t.Record(host)
		other := host == sender.Host && sender.Incarnation != record.Incarnation
		if other || d.Tags[i] != incarnationTag(record.Incarnation) {
			// The tag does not tell which incarnation is newer, so both records travel.
			updates = append(updates, Update{Record: record})
			wanted = append(wanted, Wanted{Key: hostKey(host)})
			continue
		}
		if record.Sequence > d.Sequences[i] {
			updates = append(updates, updateSince(record, d.Sequences[i]))
		}
		if record.Sequence < d.Sequences[i] {
			wanted = append(wanted, Wanted{hostKey(host), record.Sequence})
		}
	}
	for _, host := range t.names {
		if !listed[host] && t.passOn(host, now) {
			updates = append(updates, Update{Record: t.Record(host)})
		}
	}
	return updates, wanted
}

// isUnknownKey reports whether the digest's column i names a host that is not known here, and
// recent enough to be worth a record.
func (t *Table) isUnknownKey(d Digest, i int) bool {
	if _, ambiguous := t.byKey[d.Keys[i]]; ambiguous {
		return false
	}
	age, ok := decodeAge(d.Ages[i])
	return ok && age < t.config.ForgetAfter/2
}

// passOn reports whether a record may be given to a peer that does not have it. Old ones are
// not, or hosts that left would be learned again from those that forget them later.
func (t *Table) passOn(host id.HostID, now clock.Time) bool {
	if host == t.config.Self {
		return true
	}
	return now.Sub(t.entries[host].alive) < t.config.ForgetAfter/2
}

// updateSince returns what a receiver that has the same incarnation's sequence lacks.
func updateSince(record *Record, sequence uint64) Update {
	if sequence < record.ContentSequence {
		return Update{Record: record}
	}
	summaries := make([]Target, len(record.Targets))
	for i, target := range record.Targets {
		summaries[i].TargetSummary = target.TargetSummary
	}
	return Update{
		Record: &Record{
			Host:            record.Host,
			Incarnation:     record.Incarnation,
			Sequence:        record.Sequence,
			ContentSequence: record.ContentSequence,
			Status:          record.Status,
			Targets:         summaries,
		},
		StatusOnly: true,
	}
}

// recordsFor returns what a peer asked for.
func (t *Table) recordsFor(wanted []Wanted) []Update {
	var updates []Update
	for _, w := range wanted {
		if host := t.byKey[w.Key]; host != "" {
			updates = append(updates, updateSince(t.Record(host), w.Since))
		}
	}
	return updates
}

// mergeUpdates takes over the newer ones of received records.
func (t *Table) mergeUpdates(updates []Update, now clock.Time) {
	added := false
	for _, u := range updates {
		if u.Record.Host == t.config.Self {
			t.hearSelf(u.Record.Version(), now)
			continue
		}
		added = t.mergeUpdate(u, now) || added
	}
	if added {
		t.reindex()
	}
	t.refreshMark()
}

// mergeUpdate takes over one record and reports whether its host was unknown.
func (t *Table) mergeUpdate(u Update, now clock.Time) (added bool) {
	host := u.Record.Host
	e := t.entries[host]
	if e == nil {
		if u.StatusOnly {
			return false
		}
		t.entries[host] = newEntry(u.Record)
		// An unheard host starts as alive as of now only for forgetting, not for target choice or freshness.
		t.entries[host].alive = now.Add(-t.config.suspectAfter() - 1)
		t.noteRecord(u.Record)
		return true
	}
	if !u.Record.Version().Newer(e.record.Version()) {
		return false
	}
	before := e.record
	if u.StatusOnly {
		merged, ok := withStatus(e.record, u.Record)
		if !ok {
			return false
		}
		e.record = merged
	} else {
		e.record = u.Record
	}
	if isUrgent(before, e.record) {
		t.urgent = append(t.urgent, e.record)
	}
	t.noteRecord(u.Record)
	return false
}

// withStatus returns a copy of a record with a newer status and newer summaries, and false when
// the record's content is too old for them.
func withStatus(old, status *Record) (*Record, bool) {
	if old.Incarnation != status.Incarnation || old.Sequence < status.ContentSequence {
		return nil, false
	}
	if len(old.Targets) != len(status.Targets) {
		return nil, false
	}
	merged := old.clone()
	merged.Sequence = status.Sequence
	merged.Status = status.Status
	for i, target := range status.Targets {
		merged.Targets[i].TargetSummary = target.TargetSummary
	}
	return merged, true
}

// isUrgent reports whether a record has new evidence about crashing requests, or targets that
// came under suspicion: other judges need that to tell a bad target from a bad service.
func isUrgent(before, after *Record) bool {
	if !slices.EqualFunc(before.Suspects, after.Suspects, sameSuspect) {
		return true
	}
	return suspectedTargets(after) > suspectedTargets(before)
}

// suspectedTargets counts a record's targets under suspicion.
func suspectedTargets(r *Record) int {
	suspected := 0
	for _, t := range r.Targets {
		if t.Suspected {
			suspected++
		}
	}
	return suspected
}

// noteRecord draws the consequences of a record that was taken over.
func (t *Table) noteRecord(r *Record) {
	t.changes++
	t.epochs.Raise(r.Host, r.Status.Epoch)
}
