package balancer

import "buckthornlatch.example/buckthornlatch/internal/id"

// Candidate is a target that a request may be sent to, and the address of its gate.
type Candidate struct {
	Target        id.TargetID
	Service       id.ServiceName
	Gate          id.HostID
	FailureDomain id.FailureDomain
	// Address is the gate's address for requests, as host:port.
	Address string
}
