package slots

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// usageHalfLife is the half-life of a customer's earlier work in the order of the queue.
	usageHalfLife = 5 * time.Second
	// maxCustomers bounds the customers whose work is tracked; at the bound, all of it is discarded.
	maxCustomers = 1024
)

// usage tracks the recent work of each customer.
type usage struct {
	work map[id.CustomerID]decayingAmount
}

// decayingAmount is an amount that halves every usageHalfLife.
type decayingAmount struct {
	amount float64
	at     clock.Time
}

// of returns a customer's recent work in seconds.
func (u *usage) of(now clock.Time, customer id.CustomerID) float64 {
	d, known := u.work[customer]
	if !known {
		return 0
	}
	return d.amount * math.Exp2(-now.Sub(d.at).Seconds()/usageHalfLife.Seconds())
}

// add records the duration of an attempt.
func (u *usage) add(now clock.Time, customer id.CustomerID, took time.Duration) {
	if u.work == nil || len(u.work) >= maxCustomers {
		u.work = map[id.CustomerID]decayingAmount{}
	}
	u.work[customer] = decayingAmount{amount: u.of(now, customer) + took.Seconds(), at: now}
}
