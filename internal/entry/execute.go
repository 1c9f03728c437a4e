package entry

import (
	"context"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// execute claims the idempotency key, if there is one, and runs the request.
func (e *Entry) execute(c *caller, r *http.Request, q *query) *Refusal {
	if q.idempotencyKey == "" {
		return e.run(c, r, q, noClaim{})
	}
	began := e.deps.Clock.Now()
	decision, err := e.deps.Ledger.Begin(r.Context(), q.identity.Customer, q.idempotencyKey, q.prints.content)
	if err != nil {
		return unclaimed(err)
	}
	switch decision.Kind {
	case Run:
		if decision.ValidFor > 0 {
			q.expiry = min(q.expiry, began.Add(decision.ValidFor))
		}
		q.claimed = true
		claim := newClaim(e.deps.Ledger, decision.Claim)
		defer claim.abort(context.WithoutCancel(r.Context()))
		return e.run(c, r, q, claim)
	case Replay:
		decision.Recorded.write(c)
		return nil
	}
	return &Refusal{Code: problem.OutcomeUnknown, Run: problem.Unknown}
}

// unclaimed explains why the ledger did not permit a run. A ledger that states "not-run" knows it of every send
// with the key.
func unclaimed(err error) *Refusal {
	refusal := *refusalOf(err, problem.ClaimStoreUnavailable)
	refusal.aboutKey = refusal.Run == problem.NotRun
	return &refusal
}

// write sends a recorded response.
func (r Recorded) write(c *caller) {
	header := c.w.Header()
	for name, values := range r.Header {
		header[name] = values
	}
	header["Idempotency-Replayed"] = []string{"true"}
	c.begin(r.Status, int64(len(r.Body)))
	_, _ = c.w.Write(r.Body)
}
