package slots

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// usageHalfLife is the time in which a customer's earlier work loses half of its weight in the order of the queue.
	usageHalfLife = 5 * time.Second
	// maxUsage bounds the customers whose work is remembered.
	maxUsage = 1024
)

// usage remembers how much work each customer had lately.
type usage struct {
	work map[id.CustomerID]decayed
}

// decayed is an amount that halves every usageHalfLife.
type decayed struct {
	amount float64
	at     clock.Time
}

// of returns a customer's work.
func (u *usage) of(now clock.Time, customer id.CustomerID) float64 {
	d, known := u.work[customer]
	if !known {
		return 0
	}
	return d.amount * math.Exp2(-now.Sub(d.at).Seconds()/usageHalfLife.Seconds())
}

// add records work.
func (u *usage) add(now clock.Time, customer id.CustomerID, took time.Duration) {
	if u.work == nil || len(u.work) >= maxUsage {
		u.work = map[id.CustomerID]decayed{}
	}
	u.work[customer] = decayed{amount: u.of(now, customer) + took.Seconds(), at: now}
}
