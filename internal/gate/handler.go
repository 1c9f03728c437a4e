package gate

import (
	"context"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// ServeHTTP handles hop.Path on the peer listener. A request without an attempt id reads the gate's clock.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer hop.CrashOnViolation()
	if _, ok := r.Header[hop.HeaderAttempt]; !ok {
		w.Header()[hop.HeaderGateClock] = []string{g.Clock().String()}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	request, err := hop.DecodeRequest(r.Header)
	if err != nil {
		// Without the echo of the id the entry asks for the fate of the attempt and gets a proved answer.
		_ = problem.New(problem.BadRequest, problem.NotRun, err.Error()).Write(w)
		return
	}
	reply := &reply{Reply: hop.NewReply(w, r, request.Attempt, g.Clock, g.config.EntrySilence), gate: g}
	defer reply.Done()
	if !g.flight.Enter() {
		reply.refuse(&Refused{Code: problem.Draining})
		return
	}
	defer g.flight.Leave()
	if state := g.arrive(request.Attempt); state != attempt.Unseen {
		reply.repeated(state)
		return
	}
	g.run(reply, r, request)
}

// run waits for a slot and runs a new attempt. Each path ends with exactly one finish.
func (g *Gate) run(reply *reply, r *http.Request, request hop.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), request.Remaining)
	defer cancel()
	reply.KeepAlive()
	lease, err := g.slot(ctx, reply, request)
	if err != nil {
		g.finish(request.Attempt, attempt.EndRefused)
		reply.refuse(err)
		return
	}
	d := &dispatch{gate: g, lease: lease, request: request, reply: reply, class: lease.demand.class}
	defer lease.release()
	d.run(ctx, r)
}

// slot waits for a slot in the queue.
func (g *Gate) slot(ctx context.Context, reply *reply, request hop.Request) (*lease, error) {
	if !request.ValidUntil.Permits(g.Clock()) {
		return nil, &Refused{Code: problem.ValidityExpired}
	}
	service, ok := g.deps.Catalogue.Service(request.Service)
	if !ok {
		return nil, &Refused{Code: problem.NoTarget}
	}
	d := demand{class: request.Class, prefer: request.Target}
	d.Service = service
	d.Customer = request.Customer
	d.Weight = max(g.deps.Catalogue.Weight(request.Customer), 1)
	d.Remaining = request.Remaining
	reply.demand = d
	return g.pool.acquire(ctx, d)
}

// permit is the last check before the first byte of an attempt reaches a target.
func (g *Gate) permit(ctx context.Context, l *lease, request hop.Request) error {
	if !request.ValidUntil.Permits(g.Clock()) {
		return &Refused{Code: problem.ValidityExpired}
	}
	if g.deps.Revocations.Revoked(request.KeyID) {
		return &Refused{Code: problem.KeyInvalid}
	}
	if ctx.Err() != nil {
		return &Refused{Code: problem.DeadlineTooShort}
	}
	if !l.mayDispatch() {
		return &Refused{Code: problem.NoTarget}
	}
	if !g.deps.Quarantine.MayStart(request.Fingerprint) {
		return &Refused{Code: problem.RequestQuarantined, RetryAfter: suspectRetryAfter}
	}
	if !g.dispatch(request.Attempt) {
		return &Refused{Code: problem.AttemptBlocked}
	}
	return nil
}

// checkOutbound asserts that a target's request carries no key and no hop header but the fleet's own.
func checkOutbound(header http.Header, a id.AttemptID) {
	_, hasKey := header["Authorization"]
	invariant.Check(!hasKey, "no-key-at-target", "attempt %v carries a key", a)
	_, hasHop := header[hop.HeaderKeyID]
	invariant.Check(!hasHop, "no-hop-header-at-target", "attempt %v carries %s", a, hop.HeaderKeyID)
}
