package ledger

// Export returns the next records of a sealed ledger and the position after them.
// The records have an estimated size of at most limit bytes together, unless the
// first one alone exceeds it. done is true when no record follows. It returns
// ErrSeal when the id is no longer valid.
func (l *Ledger) Export(seal SealID, from Cursor, limit int) (records []Record, next Cursor, done bool, err error) {
	if !l.sealedUnder(seal) {
		return nil, from, false, ErrSeal
	}
	slot, bytes := uint32(from), 0
	for ; slot < l.slab.limit(); slot++ {
		c := l.slab.at(slot)
		if c.state == 0 {
			continue
		}
		r := l.record(c)
		if len(records) > 0 && bytes+r.size() > limit {
			return records, Cursor(slot), false, nil
		}
		records = append(records, r)
		bytes += r.size()
	}
	return records, Cursor(slot), true, nil
}

// record returns the exported form of a claim.
func (l *Ledger) record(c *claim) Record {
	r := Record{
		Random: c.random, Fingerprint: c.fingerprint, Customer: l.customers.names[c.customer],
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
