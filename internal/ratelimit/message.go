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

// Report states what became of a grant. Reports are cumulative: a lost,
// repeated or overtaken report does no harm.
type Report struct {
	Grant GrantID
	// Spent is the number of tokens spent so far.
	Spent int
	// Age is the time since the last spend on the entry's clock, at sending.
	Age time.Duration
	// Closed says that the entry will spend no more of the grant; the unspent
	// tokens are returned.
	Closed bool
}

// Request is what an entry sends to a home about one customer.
type Request struct {
	// ID matches the reply to the request; unique within one entry process.
	ID       uint64
	Customer id.CustomerID
	// Need is the number of callers that wait for a token now.
	Need int
	// Want is the number of tokens asked for, at least Need; zero for a mere report.
	Want int
	// Part asks for at most this much, less than a token, which the entry adds to
	// parts from other homes. It excludes Need and Want.
	Part    Micro
	Reports []Report
}

// Status is the result of a request.
type Status int

// The results of a request.
const (
	// StatusOK means that the home answered from its bucket.
	StatusOK Status = iota
	// StatusNotHome means that the slot holds no share of the customer.
	StatusNotHome
	// StatusUnconfirmed means that the slot may not perform its duties now.
	StatusUnconfirmed
)

// Reply is a home's answer to a Request.
type Reply struct {
	ID     uint64
	Status Status
	Grant  GrantID
	// Tokens is the size of the grant; zero when there is none.
	Tokens int
	// Immediate is the number of tokens that the entry spends when the reply
	// arrives, or never.
	Immediate      int
	ImmediateGrant GrantID
	// Part is the size of the immediate grant that answers Request.Part.
	Part Micro
	// Level is what is left in the bucket; it only helps to choose a home.
	Level Micro
	// RetryAfter is the time until the bucket can hold the next token, when fewer
	// tokens than needed were granted.
	RetryAfter time.Duration
	// ReportWithin is how soon the home wants to hear of spends; zero when the
	// next request is early enough.
	ReportWithin time.Duration
}
