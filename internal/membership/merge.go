package membership

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// compare returns the updates that the sender of a digest lacks and the hosts whose records are
// newer there. Records of hosts whose keys are ambiguous are sent whole. The sender's own incarnation
// is compared in full, because tags of different incarnations can be equal.
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
			// The tags do not tell which incarnation is newer, so both records are sent.
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
		if !listed[host] && t.mayForward(host, now) {
			updates = append(updates, Update{Record: t.Record(host)})
		}
	}
	return updates, wanted
}

// isUnknownKey reports whether column i of the digest belongs to a host that is not in the table and
// was alive recently enough for its record to be requested.
func (t *Table) isUnknownKey(d Digest, i int) bool {
	if _, ambiguous := t.byKey[d.Keys[i]]; ambiguous {
		return false
	}
	age, ok := decodeAge(d.Ages[i])
	return ok && age < t.config.ExpireAfter/2
}

// mayForward reports whether a record may be sent to a peer that does not have it. Old records are
// not sent: peers that have already removed a departed host would learn it again from peers that
// remove it later.
func (t *Table) mayForward(host id.HostID, now clock.Time) bool {
	if host == t.config.Self {
		return true
	}
	return now.Sub(t.peers[host].aliveAt) < t.config.ExpireAfter/2
}

// updateSince returns the update for a receiver that has the given sequence of the same incarnation.
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

// recordsFor returns the updates that a peer requested.
func (t *Table) recordsFor(wanted []Wanted) []Update {
	var updates []Update
	for _, w := range wanted {
		if host := t.byKey[w.Key]; host != "" {
			updates = append(updates, updateSince(t.Record(host), w.Since))
		}
	}
	return updates
}

// mergeUpdates merges the received records that are newer than the known ones.
func (t *Table) mergeUpdates(updates []Update, now clock.Time) {
	added := false
	for _, u := range updates {
		if u.Record.Host == t.config.Self {
			t.handleOwnVersion(u.Record.Version(), now)
			continue
		}
		added = t.mergeUpdate(u, now) || added
	}
	if added {
		t.reindex()
	}
	t.refreshMark()
}

// mergeUpdate merges one record and reports whether its host was added.
func (t *Table) mergeUpdate(u Update, now clock.Time) (added bool) {
	host := u.Record.Host
	p := t.peers[host]
	if p == nil {
		if u.StatusOnly {
			return false
		}
		t.peers[host] = newPeerState(u.Record)
		// A record does not prove that its host is alive. The host starts as just suspected and is
		// removed if no heartbeat arrives; until one does, it counts for neither target choice nor freshness.
		t.peers[host].aliveAt = now.Add(-t.config.suspectAfter() - 1)
		t.onMerged(u.Record)
		return true
	}
	if !u.Record.Version().Newer(p.record.Version()) {
		return false
	}
	before := p.record
	if u.StatusOnly {
		merged, ok := withStatus(p.record, u.Record)
		if !ok {
			return false
		}
		p.record = merged
	} else {
		p.record = u.Record
	}
	if isUrgent(before, p.record) {
		t.urgent = append(t.urgent, p.record)
	}
	t.onMerged(u.Record)
	return false
}

// withStatus returns a copy of a record with a newer status and newer target summaries, and false
// when the record's content is too old for them.
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

// isUrgent reports whether a record has new evidence about crashing requests, or more suspected
// targets: outlier detection on other hosts needs the suspicions to tell a faulty target from a
// faulty service.
func isUrgent(before, after *Record) bool {
	if !slices.EqualFunc(before.Suspects, after.Suspects, sameSuspect) {
		return true
	}
	return suspectedTargets(after) > suspectedTargets(before)
}

// suspectedTargets counts the suspected targets of a record.
func suspectedTargets(r *Record) int {
	suspected := 0
	for _, t := range r.Targets {
		if t.Suspected {
			suspected++
		}
	}
	return suspected
}

// onMerged counts the change and raises the known epoch of the record's host.
func (t *Table) onMerged(r *Record) {
	t.changes++
	t.epochs.Raise(r.Host, r.Status.Epoch)
}
