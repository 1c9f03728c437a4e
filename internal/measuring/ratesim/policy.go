package ratesim

import "time"

// PolicyName names a rate-limit policy.
type PolicyName string

// The policies.
const (
	FixedShares PolicyName = "fixed shares"
	Escrow      PolicyName = "escrow"
	TokenGrants PolicyName = "token grants"
)

// Policies lists all policies.
var Policies = []PolicyName{FixedShares, Escrow, TokenGrants}

// policy decides about requests. It calls finish exactly once per request,
// possibly later.
type policy interface {
	request(daemon, customer int, finish func(admitted bool))
	// lose stops daemon 0; replace starts an empty one in its place.
	lose()
	replace()
}

// maxWait is how long requests wait for a token under every policy.
const maxWait = 100 * time.Millisecond

// traffic counts control messages.
type traffic struct {
	messages int
	bytes    int
}

// add counts one message of the size in bytes.
func (t *traffic) add(size int) {
	t.messages++
	t.bytes += size
}
