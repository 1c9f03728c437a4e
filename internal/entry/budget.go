package entry

import "sync/atomic"

const (
	// budgetUnit is one retry in the budget's fixed-point units.
	budgetUnit = 1000
	// budgetReserve is the number of retries that the budget holds at most. It lets a quiet entry retry at
	// all and bounds the burst after a long quiet time.
	budgetReserve = 20
)

// budget limits retries to a fraction of the requests.
type budget struct {
	deposit int64
	level   atomic.Int64
}

// newBudget returns a full budget.
func newBudget(fraction float64) *budget {
	b := &budget{deposit: int64(fraction * budgetUnit)}
	b.level.Store(budgetReserve * budgetUnit)
	return b
}

// request credits one request.
func (b *budget) request() {
	if b.level.Add(b.deposit) > budgetReserve*budgetUnit {
		b.level.Store(budgetReserve * budgetUnit)
	}
}

// retry takes one retry out of the budget, if there is one.
func (b *budget) retry() bool {
	for {
		level := b.level.Load()
		if level < budgetUnit {
			return false
		}
		if b.level.CompareAndSwap(level, level-budgetUnit) {
			return true
		}
	}
}

// available reports whether there is a retry left.
func (b *budget) available() bool {
	return b.level.Load() >= budgetUnit
}
