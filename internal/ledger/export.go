package ledger

import "buckthornlatch.example/buckthornlatch/internal/invariant"

// Export returns the next records of a sealed ledger, of about limit bytes
// together but at least one, and the position after them. done is true when no
// record follows.
func (l *Ledger) Export(from Cursor, limit int) (records []Record, next Cursor, done bool) {
	invariant.Check(l.phase != phaseActive, "ledger-export-sealed", "active ledger %v exported", l.at)
	slot, bytes := uint32(from), 0
	for ; slot < l.slab.limit(); slot++ {
		c := l.slab.at(slot)
		if c.state == 0 {
			continue
		}
		r := l.record(c)
		if len(records) > 0 && bytes+r.size() > limit {
			return records, Cursor(slot), false
		}
		records = append(records, r)
		bytes += r.size()
	}
	return records, Cursor(slot), true
}

// record returns the exported form of a claim.
func (l *Ledger) record(c *claim) Record {
	r := Record{
		Random: c.random, Fingerprint: c.fingerprint, Customer: l.clients.names[c.customer],
		Serial: c.serial, Issued: c.issued, Claimed: c.claimed, State: c.state,
	}
	switch c.state {
	case Finished:
		r.Response = c.stored.response
	case FinishedNotKept:
		r.Response = Response{Status: int(c.status)}
	}
	return r
}
