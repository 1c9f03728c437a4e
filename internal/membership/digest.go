package membership

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// digest summarises the table; keyed digests are understood by a receiver with other host names.
func (t *Table) digest(now clock.Time, keyed bool) Digest {
	d := Digest{
		Dictionary: t.dictionary,
		Ages:       make([]byte, 0, len(t.names)),
		Tags:       make([]byte, 0, len(t.names)),
		Sequences:  make([]uint64, 0, len(t.names)),
	}
	for _, host := range t.names {
		record := t.Record(host)
		d.Ages = append(d.Ages, t.ageCode(host, now))
		d.Tags = append(d.Tags, incarnationTag(record.Incarnation))
		d.Sequences = append(d.Sequences, record.Sequence)
		if keyed {
			d.Keys = append(d.Keys, hostKey(host))
		}
	}
	return d
}

// ages is a digest without sequences, as a response carries it.
func (t *Table) ages(now clock.Time, keyed bool) Digest {
	d := t.digest(now, keyed)
	d.Sequences = nil
	return d
}

// ageCode returns the code of a host's covered age.
func (t *Table) ageCode(host id.HostID, now clock.Time) byte {
	at, ok := t.CoveredAt(host, now)
	if !ok {
		return unknownAge
	}
	return encodeAge(now.Sub(at))
}

// hostsOf returns the hosts of a digest's columns in order, "" for hosts not known here, and
// false when the digest cannot be read.
func (t *Table) hostsOf(d Digest) ([]id.HostID, bool) {
	if d.Dictionary == t.dictionary && len(d.Ages) == len(t.names) {
		return t.names, true
	}
	if len(d.Keys) != len(d.Ages) || len(d.Keys) == 0 {
		return nil, false
	}
	hosts := make([]id.HostID, len(d.Keys))
	for i, key := range d.Keys {
		hosts[i] = t.byKey[key]
	}
	return hosts, true
}

// sawHeartbeat records that a host was alive at a local time.
func (t *Table) sawHeartbeat(host id.HostID, at clock.Time, covered bool) {
	e := t.entries[host]
	if e == nil {
		return
	}
	e.alive = max(e.alive, at)
	if covered {
		e.covered = max(e.covered, at)
	}
}

// mergeAges takes over the heartbeats of a digest. The ages count from the local time base.
// Heartbeats of another incarnation than the known one do not count: while two processes of one
// host run, one of them may have accepted what the other has not.
func (t *Table) mergeAges(hosts []id.HostID, d Digest, base clock.Time, covered bool) {
	if len(d.Tags) != len(hosts) {
		return
	}
	for i, code := range d.Ages {
		age, ok := decodeAge(code)
		if !ok || hosts[i] == "" {
			continue
		}
		record := t.Record(hosts[i])
		if record != nil && d.Tags[i] == incarnationTag(record.Incarnation) {
			t.sawHeartbeat(hosts[i], base.Add(-age), covered)
		}
	}
}

// sawSender records that the sender of a message was alive at a local time.
func (t *Table) sawSender(s Sender, at clock.Time) {
	record := t.Record(s.Host)
	if record != nil && record.Incarnation == s.Incarnation {
		t.sawHeartbeat(s.Host, at, false)
	}
}

// mergePlatformRead takes over a relayed platform read; age counts from the local time base.
func (t *Table) mergePlatformRead(age time.Duration, base clock.Time) {
	if age >= 0 {
		t.platformRead = max(t.platformRead, base.Add(-age))
	}
}
