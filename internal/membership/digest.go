package membership

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// digest summarises the table. A keyed digest carries the hashes of the host names, so that a
// receiver with a different set of hosts can read it.
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

// ageDigest returns a digest without sequences, for responses and pushes.
func (t *Table) ageDigest(now clock.Time, keyed bool) Digest {
	d := t.digest(now, keyed)
	d.Sequences = nil
	return d
}

// ageCode returns the code of the age of a host's latest covered heartbeat.
func (t *Table) ageCode(host id.HostID, now clock.Time) byte {
	at, ok := t.CoveredAt(host, now)
	if !ok {
		return unknownAge
	}
	return encodeAge(now.Sub(at))
}

// hostsOf returns the hosts of a digest's columns in order, "" where a key is unknown or ambiguous
// here, and false when the digest cannot be read.
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

// recordHeartbeat records that a host was alive at a local time; covered says whether the riders
// that came with the heartbeat were merged.
func (t *Table) recordHeartbeat(host id.HostID, at clock.Time, covered bool) {
	p := t.peers[host]
	if p == nil {
		return
	}
	p.aliveAt = max(p.aliveAt, at)
	if covered {
		p.coveredAt = max(p.coveredAt, at)
	}
}

// mergeAges merges the heartbeats of a digest. The ages count back from base, a local time.
// Heartbeats of an incarnation other than the known one are ignored: while two processes of one
// host run, one of them may have merged state that the other has not.
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
			t.recordHeartbeat(hosts[i], base.Add(-age), covered)
		}
	}
}

// recordSender records that the sender of a message was alive at a local time.
func (t *Table) recordSender(s Sender, at clock.Time) {
	record := t.Record(s.Host)
	if record != nil && record.Incarnation == s.Incarnation {
		t.recordHeartbeat(s.Host, at, false)
	}
}

// mergePlatformRead merges a relayed platform read; age counts back from base, a local time.
func (t *Table) mergePlatformRead(age time.Duration, base clock.Time) {
	if age >= 0 {
		t.platformRead = max(t.platformRead, base.Add(-age))
	}
}
