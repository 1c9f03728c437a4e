package entry

import "sync/atomic"

const (
	// retryCost is the number of tokens that a retry takes. It is large so that a fraction of a retry is a whole
	// number of tokens.
	retryCost = 1000
	// retryCapacity is the number of retries that a full budget allows. It permits retries at low traffic
	// and bounds the burst of retries after a long time without any.
	retryCapacity = 20
)

// retryBudget is a token bucket that is refilled by each request, so that retries are limited to a fraction of the
// requests.
type retryBudget struct {
	// refill is the number of tokens that a request adds.
	refill int64
	tokens atomic.Int64
}

// newRetryBudget returns a full budget.
func newRetryBudget(fraction float64) *retryBudget {
	b := &retryBudget{refill: int64(fraction * retryCost)}
	b.tokens.Store(retryCapacity * retryCost)
	return b
}

// credit adds the tokens of one request, up to the capacity.
func (b *retryBudget) credit() {
	if b.tokens.Add(b.refill) > retryCapacity*retryCost {
		b.tokens.Store(retryCapacity * retryCost)
	}
}

// take takes the tokens of one retry and reports whether there were enough.
func (b *retryBudget) take() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < retryCost {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-retryCost) {
			return true
		}
	}
}

// available reports whether there are enough tokens for a retry.
func (b *retryBudget) available() bool {
	return b.tokens.Load() >= retryCost
}
