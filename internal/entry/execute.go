package entry

import (
	"context"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// execute claims the idempotency key, if there is one, and runs the request.
func (e *Entry) execute(c *callerConn, r *http.Request, q *request) *Refusal {
	if q.idempotencyKey == "" {
		return e.run(c, r, q, noRecord{})
	}
	began := e.deps.Clock.Now()
	decision, err := e.deps.Ledger.Begin(r.Context(), q.identity.Customer, q.idempotencyKey, q.fingerprints.content)
	if err != nil {
		return claimRefusal(err)
	}
	switch decision.Kind {
	case Run:
		if decision.ValidFor > 0 {
			q.expiry = min(q.expiry, began.Add(decision.ValidFor))
		}
		q.claimed = true
		claim := newClaimRecord(e.deps.Ledger, decision.Claim)
		defer claim.abort(context.WithoutCancel(r.Context()))
		return e.run(c, r, q, claim)
	case Replay:
		decision.Recorded.write(c)
		return nil
	}
	return &Refusal{Code: problem.OutcomeUnknown, Run: problem.Unknown}
}

// claimRefusal returns the refusal for a run that the ledger did not permit. If the ledger states "not-run", that is
// true for every send with the key.
func claimRefusal(err error) *Refusal {
	refusal := *refusalOf(err, problem.ClaimStoreUnavailable)
	refusal.coversKey = refusal.Run == problem.NotRun
	return &refusal
}

// write sends a recorded response.
func (r RecordedResponse) write(c *callerConn) {
	header := c.w.Header()
	for name, values := range r.Header {
		header[name] = values
	}
	header["Idempotency-Replayed"] = []string{"true"}
	c.writeHeader(r.Status, int64(len(r.Body)))
	_, _ = c.w.Write(r.Body)
}
