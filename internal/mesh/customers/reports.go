package customers

import (
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// expiry is the age from which a report counts no longer. By then it has decayed to a quarter.
	expiry = 10 * time.Second
	// maxReporters bounds the entries whose reports about one customer are kept.
	maxReporters = 64
)

// Reporter identifies the entry that sent a report.
type Reporter string

// Reports adds up what entries report of the recent work of customers. The zero value is empty. It is not safe for concurrent use.
type Reports struct {
	customers map[id.CustomerID]*reported
}

// reported is what was reported of one customer.
type reported struct {
	total   decayingAmount
	reports []report
}

// report is the latest report of one entry.
type report struct {
	from Reporter
	work decayingAmount
}

// Hear records the work that an entry has started for a customer, which replaces its earlier report.
func (r *Reports) Hear(now clock.Time, customer id.CustomerID, from Reporter, work time.Duration) {
	if r.customers == nil {
		r.customers = map[id.CustomerID]*reported{}
	}
	c := r.customers[customer]
	if c == nil {
		r.makeRoom(now)
		c = &reported{}
		r.customers[customer] = c
	}
	c.reports = slices.DeleteFunc(c.reports, func(known report) bool {
		return known.from == from || now.Sub(known.work.at) >= expiry
	})
	if len(c.reports) >= maxReporters {
		// Reports are in order of their time.
		c.reports = slices.Delete(c.reports, 0, 1)
	}
	c.reports = append(c.reports, report{from: from, work: decayingAmount{amount: work.Seconds(), at: now}})
	c.total = decayingAmount{at: now}
	for _, known := range c.reports {
		c.total.amount += known.work.value(now)
	}
}

// Of returns the recent work of a customer, in seconds, by the reports of all entries. It is zero without recent reports.
func (r *Reports) Of(now clock.Time, customer id.CustomerID) float64 {
	c := r.customers[customer]
	if c == nil || now.Sub(c.total.at) >= expiry {
		return 0
	}
	return c.total.value(now)
}

// makeRoom forgets customers of whom nothing was reported recently, or any one, if the bound is reached.
func (r *Reports) makeRoom(now clock.Time) {
	if len(r.customers) < maxCustomers {
		return
	}
	for customer, c := range r.customers {
		if now.Sub(c.total.at) >= expiry {
			delete(r.customers, customer)
		}
	}
	for customer := range r.customers {
		if len(r.customers) < maxCustomers {
			return
		}
		delete(r.customers, customer)
	}
}
