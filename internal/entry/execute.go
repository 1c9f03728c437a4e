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
		return refusalOf(err, problem.ClaimStoreUnavailable)
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
	return decision.refusal()
}

// refusal explains why the ledger did not permit a run.
func (d Decision) refusal() *Refusal {
	switch d.Kind {
	case NotKept:
		return &Refusal{Code: problem.AnswerNotKept, Run: problem.Unknown}
	case InProgress:
		return &Refusal{Code: problem.InProgress, Run: problem.Unknown, Send: problem.NotRun}
	case Expired:
		return d.unknown(problem.TicketExpired)
	case IssuerLost:
		return d.unknown(problem.IssuerLost)
	case Invalid:
		return &Refusal{Code: problem.TicketInvalid, aboutKey: true}
	case KeyReused:
		return &Refusal{Code: problem.KeyReused}
	case StoreUnavailable:
		return &Refusal{Code: problem.ClaimStoreUnavailable}
	}
	return d.unknown(problem.OutcomeUnknown)
}

// unknown is a refusal for a key whose fate is not known.
func (d Decision) unknown(code problem.Code) *Refusal {
	refusal := &Refusal{Code: code, Run: problem.Unknown}
	if d.SendNotRun {
		refusal.Send = problem.NotRun
	}
	return refusal
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
