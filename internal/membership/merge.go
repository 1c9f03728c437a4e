package membership

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// compare returns the updates that the owner of a digest lacks and the keys of the hosts whose
// records are newer there. Hosts whose keys are ambiguous are sent whole. The sender's own
// incarnation is compared in full, because tags of different incarnations can be equal.
func (t *Table) compare(sender Sender, hosts []id.HostID, d Digest, now clock.Time) (updates []Update, wanted []uint32) {
	listed := make(map[id.HostID]bool, len(hosts))
	for i, host := range hosts {
		if host == "" {
			if t.isUnknownKey(d, i) {
				wanted = append(wanted, d.Keys[i])
			}
			continue
		}
		listed[host] = true
		record := t.Record(host)
		other := host == sender.Host && sender.Incarnation != record.Incarnation
		if other || d.Tags[i] != incarnationTag(record.Incarnation) {
			// The tag does not tell which incarnation is newer, so both records travel.
			updates = append(updates, Update{Record: record})
			wanted = append(wanted, hostKey(host))
			continue
		}
		if record.Sequence > d.Sequences[i] {
			updates = append(updates, updateSince(record, d.Sequences[i]))
		}
		if record.Sequence < d.Sequences[i] {
			wanted = append(wanted, hostKey(host))
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
	return Update{
		Record: &Record{
			Host:            record.Host,
			Incarnation:     record.Incarnation,
			Sequence:        record.Sequence,
			ContentSequence: record.ContentSequence,
			Status:          record.Status,
		},
		StatusOnly: true,
	}
}

// recordsFor returns the whole records of the hosts with the given keys.
func (t *Table) recordsFor(keys []uint32) []Update {
	var updates []Update
	for _, key := range keys {
		if host := t.byKey[key]; host != "" {
			updates = append(updates, Update{Record: t.Record(host)})
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
	if u.StatusOnly {
		if e.record.Incarnation != u.Record.Incarnation || e.record.Sequence < u.Record.ContentSequence {
			return false
		}
		merged := *e.record
		merged.Sequence = u.Record.Sequence
		merged.Status = u.Record.Status
		e.record = &merged
	} else {
		e.record = u.Record
	}
	t.noteRecord(u.Record)
	return false
}

// noteRecord draws the consequences of a record that was taken over.
func (t *Table) noteRecord(r *Record) {
	t.changes++
	t.epochs.Raise(r.Host, r.Status.Epoch)
}
