package ejection

import "buckthornlatch.example/buckthornlatch/internal/id"

// Holder identifies the gate process that requests permits.
type Holder struct {
	Host        id.HostID
	Incarnation id.Incarnation
}

// Request is a request to a home for a permit or its renewal.
type Request struct {
	Holder  Holder
	Service id.ServiceName
	Target  id.TargetID
	// Number counts the requests of the gate.
	Number uint64
}

// Decision is a home's decision on a Request.
type Decision uint8

// The decisions.
const (
	// Unreachable is set by the caller when it got no reply.
	Unreachable Decision = iota
	// Granted starts a lease on the gate's clock, from before the request was sent.
	Granted
	// AtFloor means that with another permit too few targets would stay in service.
	AtFloor
	// ServiceWide means that permits were requested for more than half of the service's targets.
	ServiceWide
	// NotHome means that the receiver's duty as the home is not confirmed, or that it is still fenced.
	NotHome
)

// String returns the decision's name.
func (d Decision) String() string {
	switch d {
	case Granted:
		return "granted"
	case AtFloor:
		return "at-floor"
	case ServiceWide:
		return "service-wide"
	case NotHome:
		return "not-home"
	}
	return "unreachable"
}

// Reply answers a Request.
type Reply struct {
	Target   id.TargetID
	Number   uint64
	Decision Decision
}

// Release returns a permit to its home. It covers all requests up to Number.
type Release struct {
	Holder  Holder
	Service id.ServiceName
	Target  id.TargetID
	Number  uint64
	// Cleared says that the target is healthy again or has left.
	Cleared bool
}
