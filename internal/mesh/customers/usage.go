// Package customers tracks the recent work of customers, which decides whose attempts are served first when there are too few slots.
//
// An entry sums the work that it has started for a customer at all gates and sends the sum with each attempt. A gate adds up
// the latest sums of all entries that it hears from. The sums decay, and those of entries that are no longer heard expire.
package customers

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// halfLife is the half-life of a customer's earlier work in the order of the queue.
	halfLife = 5 * time.Second
	// maxCustomers bounds the customers whose work is tracked.
	maxCustomers = 1024
)

// Usage tracks the recent work of each customer. The zero value is empty. It is not safe for concurrent use; Table is.
type Usage struct {
	work map[id.CustomerID]decayingAmount
}

// decayingAmount is an amount that halves every halfLife.
type decayingAmount struct {
	amount float64
	at     clock.Time
}

// value returns the amount that is left.
func (d decayingAmount) value(now clock.Time) float64 {
	return d.amount * math.Exp2(-now.Sub(d.at).Seconds()/halfLife.Seconds())
}

// Of returns a customer's recent work in seconds.
func (u *Usage) Of(now clock.Time, customer id.CustomerID) float64 {
	d, known := u.work[customer]
	if !known {
		return 0
	}
	return d.value(now)
}

// Add records the duration of an attempt.
func (u *Usage) Add(now clock.Time, customer id.CustomerID, took time.Duration) {
	if u.work == nil {
		u.work = map[id.CustomerID]decayingAmount{}
	}
	if _, known := u.work[customer]; !known && len(u.work) >= maxCustomers {
		u.forgetLesserHalf(now)
	}
	u.work[customer] = decayingAmount{amount: u.Of(now, customer) + took.Seconds(), at: now}
}

// forgetLesserHalf discards the work of the customers that had least of it: they are hardly ranked differently without
// it.
func (u *Usage) forgetLesserHalf(now clock.Time) {
	customers := slices.SortedFunc(maps.Keys(u.work), func(a, b id.CustomerID) int { return cmp.Compare(u.Of(now, a), u.Of(now, b)) })
	for _, customer := range customers[:len(customers)/2] {
		delete(u.work, customer)
	}
}

// Table is a Usage that is safe for concurrent use. The zero value is empty.
type Table struct {
	mu    sync.Mutex
	usage Usage
}

// Of returns a customer's recent work.
func (t *Table) Of(now clock.Time, customer id.CustomerID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.usage.Of(now, customer) * float64(time.Second))
}

// Add records the duration of an attempt.
func (t *Table) Add(now clock.Time, customer id.CustomerID, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usage.Add(now, customer, took)
}
