package healthsim

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/balancer"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// host is one daemon with its target.
type host struct {
	index    int
	name     id.HostID
	domain   id.FailureDomain
	service  id.ServiceName
	target   id.TargetID
	table    *membership.Table
	balancer *balancer.Balancer
	guard    guard
	// seen is the table's change count at the last synchronisation.
	seen uint64
	// busy counts the slots in use, and waiting are the requests for one.
	busy    int
	waiting []*request
	// victim says that the scenario's fault is here.
	victim bool
	// wasOut, outSince and suspectedAt follow the guard for the measures.
	wasOut      bool
	suspectedAt time.Duration
	ejectedAt   time.Duration
	ejections   int
	outTime     time.Duration
}

// request is one request of a caller.
type request struct {
	entry      *host
	service    id.ServiceName
	idempotent bool
	began      time.Duration
	tried      []id.TargetID
	attempts   int
	source     uint64
}
