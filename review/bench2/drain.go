package main

import (
	"context"
	"fmt"
	"time"
)

// leave lets the upstream of a host deregister and returns when that was acknowledged.
func (p *play) leave(ctx context.Context, h *host) (time.Time, error) {
	p.record.note("leave    %s sends its deregistration", h.upstream.id)
	if !h.upstream.deregister(ctx) {
		return time.Time{}, errNoAck
	}
	ackedAt := time.Now()
	p.record.note("ack      the leaving of %s is acknowledged; row of its host: %s", h.upstream.id, p.store.value("hosts", h.ports["inbound"]))
	return ackedAt, nil
}

// drainViolations returns the requests that reached the upstream of a host later than drain_ms after the acknowledgement that it
// leaves. Only requests that were sent after inTouch count, from when on all hosts on their way are in touch.
func (p *play) drainViolations(h *host, c *caller, ackedAt, inTouch time.Time) []string {
	var violations []string
	for _, run := range h.upstream.executions() {
		sent, known := c.sentAt(run.request)
		if known && sent.After(inTouch) && run.at.After(ackedAt.Add(drainBound)) {
			violations = append(violations, fmt.Sprintf("DRAIN: request %s, sent at %.3f, reached %s at %.3f, %.3f s after the acknowledgement that it leaves",
				run.request, p.record.since(sent), run.upstream, p.record.since(run.at), run.at.Sub(ackedAt).Seconds()))
		}
	}
	return violations
}
