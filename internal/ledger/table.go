package ledger

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// runBalance counts runs that were allowed and claims that were removed.
type runBalance struct {
	granted, released, expired int
}

// live returns the number of claims that must exist.
func (b runBalance) live() int {
	return b.granted - b.released - b.expired
}

// advance returns the ledger time for a reading of the holder's clock and
// drops expired claims. Ledger time never decreases.
func (l *Ledger) advance(now clock.Time) clock.Time {
	l.latest = max(l.latest, now.Add(l.offset))
	for {
		slot, ok := l.expiry.due(l.latest)
		if !ok {
			return l.latest
		}
		l.balance.expired++
		l.drop(slot)
	}
}

// full reports whether a new claim of the customer would exceed a limit.
func (l *Ledger) full(customer id.CustomerID) bool {
	return len(l.index) >= l.settings.MaxClaims ||
		l.clients.claims(customer) >= l.settings.MaxClaimsPerCustomer
}

// moved returns the decision of a ledger that allows no runs.
func (l *Ledger) moved() Decision {
	return Decision{Kind: HandedOver, At: Location{Host: l.receiver, Epoch: l.at.Epoch}}
}

// expiryOf returns the ledger time after which a claim may be dropped.
func (l *Ledger) expiryOf(c *claim) clock.Time {
	return c.issued.Add(l.settings.keep())
}

// insert adds a claim to the table.
func (l *Ledger) insert(c claim, customer id.CustomerID) uint32 {
	slot := l.slab.allocate()
	c.customer = l.clients.lookup(customer)
	l.clients.count[c.customer]++
	stored := l.slab.at(slot)
	*stored = c
	l.index[c.random] = slot
	l.expiry.add(&l.slab, slot, l.expiryOf(stored))
	return slot
}

// drop removes a claim from the table.
func (l *Ledger) drop(slot uint32) {
	c := l.slab.at(slot)
	if c.stored != nil {
		l.stored.remove(c.stored)
	}
	l.expiry.remove(&l.slab, slot, l.expiryOf(c))
	l.clients.count[c.customer]--
	delete(l.index, c.random)
	l.slab.release(slot)
}

// keepResponse records a run and stores its response within the limits.
func (l *Ledger) keepResponse(slot uint32, c *claim, r Response) {
	c.status = uint16(r.Status)
	c.state = FinishedNotKept
	size := r.size()
	if size > l.settings.MaxResponseBytes || size > l.settings.MaxStoredBytes {
		return
	}
	for l.stored.bytes+size > l.settings.MaxStoredBytes {
		l.dropOldestResponse()
	}
	c.state = Finished
	c.stored = l.stored.add(slot, r)
}

// dropOldestResponse turns the claim with the oldest response into one without.
func (l *Ledger) dropOldestResponse() {
	entry := l.stored.oldest
	c := l.slab.at(entry.slot)
	c.state = FinishedNotKept
	c.stored = nil
	l.stored.remove(entry)
}

// clear frees all claims.
func (l *Ledger) clear() {
	l.slab = slab{}
	l.index = map[Random]uint32{}
	l.expiry = newExpiryLists(l.settings.keep())
	l.stored = storedResponses{}
	l.clients = customers{index: map[id.CustomerID]uint32{}}
}
