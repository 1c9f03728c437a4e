package fairqueue

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Ticket identifies a queued request.
type Ticket uint64

// Request describes a request to be enqueued.
type Request struct {
	Customer id.CustomerID
	// Weight is the customer's share relative to others; values below 1 count as
	// 1 and values above MaxWeight as MaxWeight. The value of the customer's latest
	// request applies to all its requests.
	Weight int
	// Remaining is the time within which the request has to be finished.
	Remaining time.Duration
}

// item is a queued request, an element of its flow's linked list.
type item struct {
	ticket   Ticket
	deadline clock.Time
	flow     *flow
	previous *item
	next     *item
}
