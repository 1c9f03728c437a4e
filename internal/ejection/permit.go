package ejection

import "buckthornlatch.example/buckthornlatch/internal/id"

// Holder identifies the gate process that asks for permits.
type Holder struct {
	Host        id.HostID
	Incarnation id.Incarnation
}

// Request asks a home for a permit or for its renewal.
type Request struct {
	Holder  Holder
	Service id.ServiceName
	Target  id.TargetID
	// Number counts the judge's requests.
	Number uint64
}

// Decision is a home's answer.
type Decision uint8

// The decisions.
const (
	// Unreachable is set by the caller when no answer came.
	Unreachable Decision = iota
	// Granted starts a lease on the gate's clock, from before the request was sent.
	Granted
	// AtFloor means that another permit would break the floor.
	AtFloor
	// ServiceWide means that more than half of the service looks bad.
	ServiceWide
	// NotHome means that the home's duty is not confirmed or still fenced.
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

// Release gives a permit back. It covers all requests up to Number.
type Release struct {
	Holder  Holder
	Service id.ServiceName
	Target  id.TargetID
	Number  uint64
	// Cleared says that the target no longer looks bad.
	Cleared bool
}
