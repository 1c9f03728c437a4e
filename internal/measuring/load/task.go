package load

import (
	"context"
	"time"
)

// task is one request on its way.
type task struct {
	customer Customer
	op       Operation
	// daemon is the index of the daemon for the first send.
	daemon int
	start  time.Time
	record Record
}

// perform sends a request, again after an unknown outcome, and returns its record.
func (r *Runner) perform(parent context.Context, t task) Record {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(parent), r.plan.Timeout)
	defer cancel()
	c := &caller{client: r.client, key: r.keys[t.customer.ID], timeout: r.plan.Timeout}
	record := t.record
	record.Idempotent = t.op.Idempotent
	got := r.sends(ctx, c, t, &record)
	record.Outcome = got.outcome
	record.Code = got.code
	record.Target = got.target
	record.Mismatched = got.mismatched
	record.Latency = time.Since(t.start) - record.Due
	return record
}

// sends makes the first send and the resends of one request, each to the next
// daemon: after a failed connection, and for a non-idempotent request after an
// unknown outcome, with the same ticket. A resend that finds no daemon leaves an
// unknown outcome unknown: its "not run" is true of that send only.
func (r *Runner) sends(ctx context.Context, c *caller, t task, record *Record) answer {
	ticket, got := "", answer{outcome: RefusedNotRun}
	var unknown *answer
	final := func() answer {
		if got.code == connectFailed && unknown != nil {
			return *unknown
		}
		return got
	}
	for record.Sends < maxSends {
		daemon := r.plan.Daemons[(t.daemon+record.Sends)%len(r.plan.Daemons)]
		record.Sends++
		if !t.op.Idempotent && ticket == "" {
			issued, refused := c.ticket(ctx, daemon)
			if issued == "" && refused.code == connectFailed {
				got = refused
				continue
			}
			if issued == "" {
				return refused
			}
			ticket = issued
		}
		got = c.send(ctx, daemon, t.op, record.RequestID, ticket)
		if got.outcome == Unknown {
			unknown = new(got)
		}
		if !sendAgain(t.op, got) || !sleepUntil(ctx, time.Now().Add(resendDelay)) {
			return final()
		}
	}
	return final()
}

// sendAgain reports whether a caller sends a request again.
func sendAgain(op Operation, got answer) bool {
	return got.code == connectFailed || (!op.Idempotent && got.outcome == Unknown)
}
