package balancer

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Report records the end of an attempt on a target that Pick returned.
func (b *Balancer) Report(f Feedback, now clock.Time) {
	g := b.gates[f.Target.Host]
	if g == nil {
		return
	}
	b.reportPath(g, f.Result, now)
	t := g.target(f.Target.Name)
	if t == nil {
		return
	}
	// The count of a target that was removed and added again in the meantime starts at zero.
	t.outstanding = max(0, t.outstanding-1)
	if f.Load != nil {
		t.observeLoad(*f.Load, now)
	}
	switch f.Result {
	case Completed:
		t.observeLatency(f.Latency, now)
		t.observeResult(false, now)
	case TargetFailed:
		t.observeResult(true, now)
	case Refused, ConnectFailed, Stalled, Cancelled:
	}
}

// ReportPath records whether a host's gate was reached, when this was observed outside of an
// attempt, for example by a failed call between daemons.
func (b *Balancer) ReportPath(host id.HostID, reached bool, now clock.Time) {
	g := b.gates[host]
	if g == nil {
		return
	}
	if reached {
		b.reportPath(g, Completed, now)
		return
	}
	b.reportPath(g, ConnectFailed, now)
}

// reportPath updates the path to a gate from the result of an attempt.
func (b *Balancer) reportPath(g *gate, r Result, now clock.Time) {
	switch r {
	case Completed, TargetFailed, Refused:
		if g.path.failures == 0 {
			g.path.stalls = 0
			return
		}
		g.path.succeeded()
		b.setFailing(g, false)
	case ConnectFailed:
		g.path.failed(now)
		b.setFailing(g, true)
	case Stalled:
		if !g.path.stalled(now) {
			return
		}
		b.setFailing(g, true)
	case Cancelled:
		g.path.trial = false
		return
	}
	b.refresh(g)
}
