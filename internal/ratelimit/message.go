package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// GrantID identifies a grant among all grants of one home slot.
type GrantID struct {
	Epoch    id.Epoch
	Sequence uint64
}

// Report states how much of a grant was spent. Reports are cumulative, so lost,
// duplicated and reordered reports do no harm.
type Report struct {
	Grant GrantID
	// Spent is the number of tokens spent so far.
	Spent int
	// Age is the time since the last spend on the entry's clock, at sending.
	Age time.Duration
	// Closed says that the entry will spend no more of the grant and returns the
	// unspent tokens.
	Closed bool
}

// Request is what an entry sends to a home about one customer.
type Request struct {
	// ID matches the reply to the request; unique within one entry process.
	ID       uint64
	Customer id.CustomerID
	// Need is the number of callers that wait for a token now.
	Need int
	// Want is the number of tokens requested, at least Need; zero when the request
	// carries only reports.
	Want int
	// Part requests at most this amount, up to one token, to be combined with parts
	// from other homes. Need and Want are zero then.
	Part    MicroTokens
	Reports []Report
}

// Status is the result of a request.
type Status int

// The results of a request.
const (
	// StatusOK means that the home answered from its bucket.
	StatusOK Status = iota
	// StatusNotHome means that the host holds no share of the customer's limit.
	StatusNotHome
	// StatusUnconfirmed means that the home may not act now.
	StatusUnconfirmed
)

// Reply is a home's reply to a Request.
type Reply struct {
	ID     uint64
	Status Status
	Grant  GrantID
	// Tokens is the size of the grant; zero when there is none.
	Tokens int
	// Immediate is the number of tokens that the entry spends when the reply arrives
	// or not at all.
	Immediate      int
	ImmediateGrant GrantID
	// Part is the size of the immediate grant that answers Request.Part.
	Part MicroTokens
	// Level is the remaining level of the bucket, a hint for choosing a home.
	Level MicroTokens
	// RetryAfter is the time until the bucket can hold the next token, when fewer
	// tokens than needed were granted.
	RetryAfter time.Duration
	// ReportWithin is how soon the home requires reports of spends; zero when they
	// can wait for the next request.
	ReportWithin time.Duration
}
