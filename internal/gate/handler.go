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

// ServeHTTP handles hop.Path on the peer listener. The response to a request without an attempt id has only the
// gate's clock.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer hop.CrashOnViolation()
	if _, ok := r.Header[hop.HeaderAttempt]; !ok {
		w.Header()[hop.HeaderGateClock] = []string{g.Clock().String()}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	request, err := hop.DecodeRequest(r.Header)
	if err != nil {
		// The response does not echo the attempt id, so the entry resolves the attempt and gets a proved outcome.
		_ = problem.New(problem.BadRequest, problem.NotRun, err.Error()).Write(w)
		return
	}
	reply := &reply{Reply: hop.NewReply(w, r, request.Attempt, g.Clock, g.config.EntryWriteTimeout), gate: g}
	defer reply.Done()
	if !g.inFlight.Enter() {
		reply.refuse(&RefusedError{Code: problem.Draining})
		return
	}
	defer g.inFlight.Leave()
	if state := g.arrive(request); state != attempt.Unseen {
		reply.rejectByState(state)
		return
	}
	g.run(reply, r, request)
}

// run waits for a slot and runs a new attempt. Every path calls finish exactly once.
func (g *Gate) run(reply *reply, r *http.Request, request hop.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), request.Remaining)
	defer cancel()
	reply.StartKeepAlive()
	lease, err := g.acquireSlot(ctx, reply, request)
	if err != nil {
		g.finish(request.Attempt, attempt.EndRefused)
		reply.refuse(err)
		return
	}
	d := &dispatch{gate: g, lease: lease, request: request, reply: reply, class: lease.demand.class}
	defer lease.release()
	d.run(ctx, r)
}

// acquireSlot checks a new attempt and waits in the queue for a slot.
func (g *Gate) acquireSlot(ctx context.Context, reply *reply, request hop.Request) (*lease, error) {
	if !request.ValidUntil.Permits(g.Clock()) {
		return nil, &RefusedError{Code: problem.ValidityExpired}
	}
	service, ok := g.deps.Catalogue.Service(request.Service)
	if !ok {
		return nil, &RefusedError{Code: problem.NoTarget}
	}
	d := demand{class: request.Class, prefer: request.Target}
	d.Service = service
	d.Customer = request.Customer
	d.Weight = max(g.deps.Catalogue.Weight(request.Customer), 1)
	d.Remaining = request.Remaining
	reply.demand = d
	return g.pool.acquire(ctx, d)
}

// permit is the final check before the first byte of an attempt is written to a target.
func (g *Gate) permit(ctx context.Context, l *lease, request hop.Request) error {
	if !request.ValidUntil.Permits(g.Clock()) {
		return &RefusedError{Code: problem.ValidityExpired}
	}
	if g.deps.Revocations.Revoked(request.KeyID) {
		return &RefusedError{Code: problem.KeyInvalid}
	}
	if ctx.Err() != nil {
		return &RefusedError{Code: problem.DeadlineTooShort}
	}
	if !l.mayDispatch() {
		return &RefusedError{Code: problem.NoTarget}
	}
	if !g.deps.Quarantine.MayStart(request.Fingerprint) {
		return &RefusedError{Code: problem.RequestQuarantined, RetryAfter: suspectRetryAfter}
	}
	if !g.dispatch(request.Attempt) {
		return &RefusedError{Code: problem.AttemptBlocked}
	}
	return nil
}

// checkOutbound asserts that a request to a target carries neither the caller's key nor the hop header with its id.
func checkOutbound(header http.Header, a id.AttemptID) {
	_, hasKey := header["Authorization"]
	invariant.Check(!hasKey, "no-key-at-target", "attempt %v carries a key", a)
	_, hasHop := header[hop.HeaderKeyID]
	invariant.Check(!hasHop, "no-hop-header-at-target", "attempt %v carries %s", a, hop.HeaderKeyID)
}
