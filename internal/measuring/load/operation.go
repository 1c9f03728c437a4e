package load

// Operation is one kind of request that a customer sends.
type Operation struct {
	Method string `toml:"method"`
	// Host is the request host; empty means the daemon's address.
	Host string `toml:"host"`
	Path string `toml:"path"`
	// Idempotent operations carry no ticket and may be sent again freely.
	Idempotent bool `toml:"idempotent"`
	// Weight is the operation's share among the customer's operations.
	Weight float64 `toml:"weight"`
	// BodyBytes is the size of the request body.
	BodyBytes int `toml:"body_bytes"`
	// AnswerBytes asks the emulated target for an answer of that size; 0 for a short one.
	AnswerBytes int `toml:"answer_bytes"`
}

// cost returns the tokens of the customer's rate that the operation takes: one
// for the request and, when it is not idempotent, one for its ticket.
func (o Operation) cost() float64 {
	if o.Idempotent {
		return 1
	}
	return 2
}
