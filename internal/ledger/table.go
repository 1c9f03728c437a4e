package ledger

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// runCounts counts the runs that were allowed, and the claims that were released by a proved not-run
// or have expired.
type runCounts struct {
	granted, released, expired int
}

// live returns the number of claims that the ledger must have.
func (c runCounts) live() int {
	return c.granted - c.released - c.expired
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
		l.runs.expired++
		l.drop(slot)
	}
}

// full reports whether a new claim of the customer would exceed a limit.
func (l *Ledger) full(customer id.CustomerID) bool {
	return len(l.index) >= l.settings.MaxClaims ||
		l.customers.claims(customer) >= l.settings.MaxClaimsPerCustomer
}

// handedOver returns the decision of a ledger that allows no runs because of a handover. The host is
// empty while the receiver is not known.
func (l *Ledger) handedOver() Decision {
	return Decision{Kind: HandedOver, At: Location{Host: l.receiver, Epoch: l.location.Epoch}}
}

// expiryOf returns the ledger time after which a claim may be dropped.
func (l *Ledger) expiryOf(c *claim) clock.Time {
	return c.issued.Add(l.settings.retention())
}

// insert adds a claim to the table and returns its slot.
func (l *Ledger) insert(c claim, customer id.CustomerID) uint32 {
	slot := l.slab.allocate()
	c.customer = l.customers.lookup(customer)
	l.customers.count[c.customer]++
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
	l.customers.count[c.customer]--
	delete(l.index, c.random)
	l.slab.release(slot)
}

// keepResponse marks a claim as run and stores its response if the size limits allow it. It drops
// the oldest responses to make space.
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

// dropOldestResponse drops the oldest stored response; its claim stays, without a response.
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
	l.expiry = newExpiryLists(l.settings.retention())
	l.stored = storedResponses{}
	l.customers = customers{index: map[id.CustomerID]uint32{}}
}
