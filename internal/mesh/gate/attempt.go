package gate

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

const (
	// keptBody is the part of a body that is read before the target gets the attempt, in bytes. A body that breaks
	// off within it leaves the attempt not run.
	keptBody = 256 << 10
	// bodyWait bounds the time in which an entry must send that part while a slot is held for it.
	bodyWait = time.Second
	// answerMargin is taken off the time that the target is given, so that its last answer reaches the caller.
	answerMargin = 15 * time.Millisecond
)

// work is one attempt at the gate.
type work struct {
	gate    *Gate
	attempt *link.Attempt
	demand  slots.Demand
	arrived time.Time
	// started is when the attempt got its slot; zero before.
	started time.Time
	target  *target
	signals link.Signals
	// cancel ends the exchange with the target.
	cancel context.CancelFunc
	// hopeless receives a value when the entry should give the attempt up.
	hopeless chan struct{}
}

// Do runs an attempt and returns what became of it. Cancelling ctx ends it.
func (g *Gate) Do(ctx context.Context, a *link.Attempt, signals link.Signals) *link.Result {
	w := &work{gate: g, attempt: a, signals: signals, arrived: time.Now(), hopeless: make(chan struct{}, 1)}
	ctx, w.cancel = context.WithTimeout(ctx, a.Remaining)
	result := w.run(ctx)
	if result.Rest == nil {
		w.cancel()
	}
	g.mu.Lock()
	result.Load, result.LoadKnown = g.load(), true
	g.mu.Unlock()
	result.Policy = g.config.Version()
	w.log(result)
	return result
}

// run admits the attempt and hands it to the target.
func (w *work) run(ctx context.Context) *link.Result {
	if refusal := w.admit(ctx); refusal != nil {
		return refusal
	}
	w.started = time.Now()
	// A gate that asks for the body shows by it that it has the attempt.
	if w.attempt.Body.Repeatable() {
		w.signals.Started()
	} else if refusal := w.fetchBody(ctx); refusal != nil {
		w.done(slots.Cancelled)
		return refusal
	}
	if refusal := w.permit(ctx); refusal != nil {
		w.done(slots.Cancelled)
		return refusal
	}
	return w.exchange(ctx)
}

// admit waits for a slot. It returns nil when the attempt has one.
func (w *work) admit(ctx context.Context) *link.Result {
	g := w.gate
	a := w.attempt
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return refused(link.GateDraining, 0)
	}
	now := g.config.Clock.Now()
	g.slots.SetRepeatBudget(now, g.config.Repeats())
	g.nextID++
	w.demand = slots.Demand{
		ID: g.nextID, Route: a.Route, Customer: a.Customer, Rank: a.Rank, Nested: a.Nested, Idempotent: a.Idempotent, Repeat: a.Repeat,
		Forced: a.Forced, Remaining: a.Remaining, Objective: a.Objective, Patience: a.Patience,
		OverdueAfter: a.OverdueAfter,
	}
	decision := slots.Decision{Kind: slots.Refuse, Reason: slots.NoTarget}
	if a.Service == g.config.Service {
		decision = g.slots.Arrive(now, w.demand)
		g.offer(decision)
	}
	if decision.Kind == slots.Run {
		g.working[w.demand.ID] = w
	}
	w.target = g.target
	var turn chan slots.Turn
	if decision.Kind == slots.Wait {
		turn = make(chan slots.Turn, 1)
		g.waiting[w.demand.ID] = turn
	}
	g.mu.Unlock()
	switch decision.Kind {
	case slots.Run:
		return nil
	case slots.Refuse:
		return refused(link.Reason(decision.Reason), decision.RetryAfter)
	}
	w.signals.Queued()
	return w.wait(ctx, turn)
}

// wait waits for the attempt's turn.
func (w *work) wait(ctx context.Context, turn chan slots.Turn) *link.Result {
	patience := time.NewTimer(w.attempt.Patience)
	defer patience.Stop()
	reason := link.Reason(slots.Full)
	select {
	case t := <-turn:
		return w.turn(t)
	case <-patience.C:
	case <-ctx.Done():
		reason = link.OutOfTime
	}
	g := w.gate
	g.mu.Lock()
	abandoned := g.slots.Abandon(w.demand.ID)
	if abandoned {
		delete(g.waiting, w.demand.ID)
	}
	g.mu.Unlock()
	if abandoned {
		return refused(reason, 0)
	}
	return w.turn(<-turn)
}

// turn ends the wait.
func (w *work) turn(t slots.Turn) *link.Result {
	if !t.Run {
		return refused(link.Reason(t.Reason), 0)
	}
	w.gate.mu.Lock()
	w.target = w.gate.target
	w.gate.working[w.demand.ID] = w
	w.gate.mu.Unlock()
	return nil
}

// fetchBody asks the entry for the body.
func (w *work) fetchBody(ctx context.Context) *link.Result {
	read := make(chan error, 1)
	go func() { read <- w.attempt.Body.Prefetch(keptBody) }()
	timeout := time.NewTimer(bodyWait)
	defer timeout.Stop()
	var err error
	select {
	case err = <-read:
	case <-ctx.Done():
		err = context.Cause(ctx)
	case <-timeout.C:
		err = errBodyLate
	}
	if err != nil {
		result := refused(link.BodyBroken, 0)
		result.Err = err
		return result
	}
	return nil
}

// errBodyLate ends the wait for a body.
var errBodyLate = errors.New("the body did not arrive in time")

// permit is the last check before the first byte reaches the target.
func (w *work) permit(ctx context.Context) *link.Result {
	if ctx.Err() != nil {
		return refused(link.OutOfTime, 0)
	}
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return refused(link.GateDraining, 0)
	}
	if g.target != w.target || !g.target.takesWork() {
		return refused(link.Reason(slots.NoTarget), 0)
	}
	return nil
}

// takesWork reports whether attempts may be handed to the target.
func (t *target) takesWork() bool {
	return t.state == roster.Serving && !t.misdirected
}

// exchange hands the attempt to the target and waits for the answer.
func (w *work) exchange(ctx context.Context) *link.Result {
	type answer struct {
		response *targetconn.Response
		err      error
	}
	answers := make(chan answer, 1)
	request := w.request()
	go func() {
		response, err := w.target.pool.Do(ctx, request)
		answers <- answer{response, err}
	}()
	w.gate.mu.Lock()
	limit := w.gate.slots.OverdueAfter(w.demand)
	w.gate.mu.Unlock()
	overdue := time.NewTimer(limit)
	defer overdue.Stop()
	for {
		select {
		case got := <-answers:
			return w.judge(ctx, got.response, got.err)
		case <-overdue.C:
			w.gate.mu.Lock()
			w.gate.slots.MarkOverdue(w.gate.config.Clock.Now(), w.demand.ID)
			w.gate.mu.Unlock()
			w.signals.Overdue()
		case <-w.hopeless:
			w.signals.Hopeless()
		}
	}
}

// request builds the target's request.
func (w *work) request() *targetconn.Request {
	a, headers := w.attempt, w.gate.config.Headers
	header := a.Header.Clone()
	headers.StripCaller(header)
	left := a.Remaining - time.Since(w.arrived) - answerMargin
	header[headers.Deadline] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	header[headers.Target] = []string{w.target.incarnation.ID}
	header[headers.Caller] = []string{string(a.Caller)}
	if a.Customer != "" {
		header[headers.Customer] = []string{string(a.Customer)}
	}
	return &targetconn.Request{
		Method: a.Method, URI: a.URI, Host: a.Host, Header: header,
		Body: a.Body.Data, Rest: a.Body.Rest, Length: a.Body.Length,
		IDHeader: headers.RequestID, Unfamiliar: w.unfamiliar, Fresh: !a.Idempotent,
	}
}

// unfamiliar reports whether an answer without the request's id is still the target's: only refusals to run are.
func (w *work) unfamiliar(r *http.Response) bool {
	_, notRun := r.Header[w.gate.config.Headers.NotRun]
	return notRun || r.StatusCode == http.StatusMisdirectedRequest
}

// judge converts the target's answer and frees the slot.
func (w *work) judge(ctx context.Context, r *targetconn.Response, err error) *link.Result {
	if err != nil {
		return w.broken(ctx, err)
	}
	headers := w.gate.config.Headers
	_, notRun := r.Header[headers.NotRun]
	_, sealed := r.Header[headers.Seal]
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		w.misdirected()
		w.done(slots.Cancelled)
		return refused(link.TargetReplaced, 0)
	case notRun:
		w.done(slots.Declined)
		return refused(link.TargetDeclined, 0)
	case r.Status < 300 && !sealed:
		w.done(slots.Broken)
		return &link.Result{Verdict: hop.Unknown, Reason: link.TargetBroken, Err: errUnsealed}
	}
	result := &link.Result{
		Verdict: hop.Ran, Reason: link.Answered, Status: r.Status, Header: r.Header, Body: r.Body, Length: r.Length,
	}
	outcome := outcomeOf(r.Status)
	if r.Rest == nil {
		w.done(outcome)
		return result
	}
	result.Rest = &slotHolder{ReadCloser: r.Rest, done: func() { w.done(outcome); w.cancel() }}
	return result
}

// errUnsealed reports a success that does not bear the target's seal.
var errUnsealed = errors.New("the success bears no seal")

// outcomeOf is the evidence of a complete answer.
func outcomeOf(status int) slots.Outcome {
	switch {
	case status == http.StatusGatewayTimeout:
		return slots.TimedOut
	case status >= http.StatusInternalServerError:
		return slots.Failed
	}
	return slots.Succeeded
}

// broken describes an exchange without a usable answer.
func (w *work) broken(ctx context.Context, err error) *link.Result {
	var failure *targetconn.Error
	sent := !errors.As(err, &failure) || failure.Sent
	result := &link.Result{Verdict: hop.NotRun, Reason: link.TargetBroken, Err: err}
	if sent {
		result.Verdict = hop.Unknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		w.done(slots.TimedOut)
		result.Reason = link.OutOfTime
	case ctx.Err() != nil:
		w.done(slots.Cancelled)
		result.Reason = link.Ended
	default:
		w.done(slots.Broken)
	}
	return result
}

// offer tells the entry of an attempt that the slots would give up. The lock is held.
func (g *Gate) offer(d slots.Decision) {
	if !d.Reclaims {
		return
	}
	if w := g.working[d.Reclaim]; w != nil {
		w.hopeless <- struct{}{}
	}
}

// misdirected stops the use of an address at which another process answers.
func (w *work) misdirected() {
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == w.target && !g.target.misdirected {
		g.target.misdirected = true
		g.config.Events.Warn().Str("target", w.target.incarnation.ID).Msg("gate: another process answers for the target")
		g.admit()
	}
}

// done frees the slot.
func (w *work) done(outcome slots.Outcome) {
	g := w.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.working, w.demand.ID)
	g.answer(g.slots.Done(g.config.Clock.Now(), w.demand.ID, outcome))
}

// refused is an attempt that did not reach the target.
func refused(reason link.Reason, retryAfter time.Duration) *link.Result {
	return &link.Result{Verdict: hop.NotRun, Reason: reason, RetryAfter: retryAfter}
}
