package permits

import (
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
	rpc "buckthornlatch.example/buckthornlatch/rpc/permits"
)

// encodeRequest returns the wire form of a request. A gate requests permits only for targets on its
// own host, so the host field identifies both the holder and the target.
func encodeRequest(r ejection.Request) *rpc.PermitRequest {
	return &rpc.PermitRequest{
		Host:        string(r.Holder.Host),
		Incarnation: uint64(r.Holder.Incarnation),
		Service:     string(r.Service),
		Target:      r.Target.Name,
		Number:      r.Number,
	}
}

// decodeRequest reads the wire form of a request.
func decodeRequest(r *rpc.PermitRequest) ejection.Request {
	return ejection.Request{
		Holder:  ejection.Holder{Host: id.HostID(r.GetHost()), Incarnation: id.Incarnation(r.GetIncarnation())},
		Service: id.ServiceName(r.GetService()),
		Target:  targetID(r.GetHost(), r.GetTarget()),
		Number:  r.GetNumber(),
	}
}

// encodeRelease returns the wire form of a release.
func encodeRelease(r ejection.Release) *rpc.PermitRelease {
	return &rpc.PermitRelease{
		Host:        string(r.Holder.Host),
		Incarnation: uint64(r.Holder.Incarnation),
		Service:     string(r.Service),
		Target:      r.Target.Name,
		Number:      r.Number,
		Cleared:     r.Cleared,
	}
}

// decodeRelease reads the wire form of a release.
func decodeRelease(r *rpc.PermitRelease) ejection.Release {
	return ejection.Release{
		Holder:  ejection.Holder{Host: id.HostID(r.GetHost()), Incarnation: id.Incarnation(r.GetIncarnation())},
		Service: id.ServiceName(r.GetService()),
		Target:  targetID(r.GetHost(), r.GetTarget()),
		Number:  r.GetNumber(),
		Cleared: r.GetCleared(),
	}
}

// wireDecisions maps decisions to their wire form.
var wireDecisions = map[ejection.Decision]rpc.Decision{
	ejection.Granted:     rpc.Decision_GRANTED,
	ejection.AtFloor:     rpc.Decision_AT_FLOOR,
	ejection.ServiceWide: rpc.Decision_SERVICE_WIDE,
	ejection.NotHome:     rpc.Decision_NOT_HOME,
}

// encodeReply returns the wire form of a reply.
func encodeReply(r ejection.Reply) *rpc.PermitReply {
	return &rpc.PermitReply{
		Host:     string(r.Target.Host),
		Target:   r.Target.Name,
		Number:   r.Number,
		Decision: wireDecisions[r.Decision],
	}
}

// decodeReply reads the wire form of a reply. An unknown decision counts as Unreachable.
func decodeReply(r *rpc.PermitReply) ejection.Reply {
	reply := ejection.Reply{
		Target:   targetID(r.GetHost(), r.GetTarget()),
		Number:   r.GetNumber(),
		Decision: ejection.Unreachable,
	}
	for decision, wire := range wireDecisions {
		if wire == r.GetDecision() {
			reply.Decision = decision
		}
	}
	return reply
}
