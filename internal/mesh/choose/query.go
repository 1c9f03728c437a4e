package choose

import (
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// Query describes the host that an attempt needs.
type Query struct {
	Service id.ServiceName
	// Exclude lists hosts that must not be picked.
	Exclude []id.HostID
	// Refused lists hosts that had no room for the request but at which it can wait or be forced.
	Refused []id.HostID
	// Draw is a random number in [0, 1) that stays the same for a request. Without room in the failure domain, the
	// request leaves it if Draw is below the share that may leave.
	Draw float64
	// Patience is how long the request can wait without a loss to its caller.
	Patience time.Duration
	// Regions are those in which the host must be.
	Regions policy.Regions
}

// eligible reports whether a host meets the query.
func (q Query) eligible(h *host) bool {
	return h.serves(q.Service) && !slices.Contains(q.Exclude, h.record.Host)
}
