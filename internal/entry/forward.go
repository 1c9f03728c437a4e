package entry

import (
	"cmp"
	"context"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// forward sends a request to the daemon that issued its ticket and passes the answer on. The refusals state
// what is known about this send; only the issuer knows what became of the ticket.
func (e *Entry) forward(c *caller, r *http.Request, q *query, peer string) *Refusal {
	ctx, cancel := context.WithTimeout(r.Context(), q.deadline.Sub(e.deps.Clock.Now())+hopSlack)
	defer cancel()
	s := &session{entry: e, query: q, record: noClaim{}, caller: c, path: hop.ForwardPath}
	result := s.attempt(ctx, Candidate{Gate: peer})
	if result.delivered {
		return nil
	}
	refusal := *result.refusal
	refusal.Run, refusal.Send = problem.Unknown, ""
	if result.verdict == hop.NotRun {
		refusal.Send = problem.NotRun
	}
	if refusal.Code == problem.NoTarget {
		refusal.Code = problem.IssuerLost
	}
	refusal.Code = cmp.Or(refusal.Code, problem.OutcomeUnknown)
	return &refusal
}
