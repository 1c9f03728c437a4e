package slots

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// usageHalfLife is the half-life of a customer's earlier work in the order of the queue.
	usageHalfLife = 5 * time.Second
	// maxCustomers bounds the customers whose work is tracked.
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
	if u.work == nil {
		u.work = map[id.CustomerID]decayingAmount{}
	}
	if _, known := u.work[customer]; !known && len(u.work) >= maxCustomers {
		u.forgetLesserHalf(now)
	}
	u.work[customer] = decayingAmount{amount: u.of(now, customer) + took.Seconds(), at: now}
}

// forgetLesserHalf discards the work of the customers that had least of it: they are hardly ranked differently without
// it.
func (u *usage) forgetLesserHalf(now clock.Time) {
	customers := slices.SortedFunc(maps.Keys(u.work), func(a, b id.CustomerID) int { return cmp.Compare(u.of(now, a), u.of(now, b)) })
	for _, customer := range customers[:len(customers)/2] {
		delete(u.work, customer)
	}
}
