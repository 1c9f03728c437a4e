package link

import (
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// Attempt is a message to a gate: one attempt to run a caller's request on its target.
type Attempt struct {
	// RequestID is the caller's ID of the request, for logs.
	RequestID string
	Service   id.ServiceName
	// Caller is the service on the host whose entry accepted the request.
	Caller   id.ServiceName
	Route    id.RouteID
	Customer id.CustomerID
	// CustomerWork is the recent work that the entry has started for the customer at all gates; zero if unknown. It is sent in
	// tenths of a second.
	CustomerWork time.Duration
	// Entry identifies the host of the entry at the gate; empty if that is the gate's own.
	Entry string
	// Rank is the priority of the attempt under load; 0 is the highest.
	Rank int
	// Nested is set for a request that a target makes while it works on another one.
	Nested     bool
	Idempotent bool
	// Repeat is set when an earlier attempt of the request may have reached a target.
	Repeat bool
	// Forced is set for an attempt at a suspected target, after no other host took the request.
	Forced bool
	// Remaining is the time until the deadline of the request, Objective the time until its latency objective, after
	// which the response is worth less.
	Remaining time.Duration
	Objective time.Duration
	// OverdueAfter is the run time after which the entry considers the attempt overdue; zero when it has too few
	// samples.
	OverdueAfter time.Duration
	// MaxQueueWait bounds the wait for a slot; zero means that the attempt does not wait.
	MaxQueueWait time.Duration
	// HoldBody is set when the latest attempt to reach the host has failed. Then the body is held back until the gate
	// requests it, even if the attempt is idempotent and its body empty.
	HoldBody bool
	// Release is called when the gate asks for a body that is held back, which is an acknowledgement. If it returns false,
	// the attempt was given up meanwhile and the body stays. Nil always releases it.
	Release func() bool
	// BodyHeld is set at the gate if the entry holds the body back until the gate reads it.
	BodyHeld bool
	// Policy is the policy version in force at the entry.
	Policy policy.Version

	Method string
	// URI is the request URI as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   *Body
}

// Signals receives the progress of an attempt at its gate. The methods must not block.
type Signals interface {
	// Queued reports that the gate has received the attempt, which may be waiting for a slot.
	Queued()
	// Started reports that the attempt has a slot.
	Started()
	// Overdue reports that the attempt takes far longer than usual.
	Overdue()
	// CancelAdvised reports that the attempt will most likely miss its deadline while others need its slot. The entry
	// decides whether to cancel it, because only it knows the other attempts and what was promised to the caller.
	CancelAdvised()
}
