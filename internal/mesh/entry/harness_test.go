package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock/clocktest"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/dialect/dialecttest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/entry"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// headers are the header names of the tests.
var headers = dialecttest.Headers()

// gateFunc is the behaviour of a fake gate.
type gateFunc func(ctx context.Context, a *link.Attempt, signals link.Signals) *link.Result

// harness is an entry with fake gates whose behaviour the tests set.
type harness struct {
	entry    *entry.Entry
	chooser  *choose.Shared
	clock    *clocktest.Leaping
	draining chan struct{}
	stopping chan struct{}
	ending   chan struct{}
	// lines is the entry's log.
	lines bytes.Buffer

	mu    sync.Mutex
	gates map[id.HostID]gateFunc
	// sent lists the attempts in the order in which they were sent.
	sent []sentAttempt
	// policyAge is how long the store has been unreachable, snapshot the policy in force.
	policyAge time.Duration
	// policyBound is the time within which a new policy must be in force.
	policyBound time.Duration
	snapshot    *policy.Snapshot
	denied      error
	// stopOver is when a planned stop is over.
	stopOver time.Time
	// stopEnds is when a planned stop ends the requests that are served; zero without one. mu guards it.
	stopEnds time.Time
	// paused is the length of the pause that has just ended.
	paused time.Duration
	// random is returned as a random number.
	random float64
	// poison is the fingerprint of a quarantined request.
	poison string
}

// sentAttempt is one attempt that the entry made.
type sentAttempt struct {
	host    id.HostID
	attempt link.Attempt
}

// newHarness returns a harness with the given number of hosts, named h0, h1 and so on, whose gates answer 200.
func newHarness(hosts int) *harness {
	h := &harness{policyBound: 2 * time.Second, clock: clocktest.NewLeaping(), draining: make(chan struct{}), stopping: make(chan struct{}), ending: make(chan struct{}), gates: map[id.HostID]gateFunc{}}
	snapshot, err := policy.Build(policy.Document{
		Version:  7,
		Services: []string{"walks"},
		Routes: []policy.Route{
			{
				ID: "browse", Host: "trails.example", Prefix: "/browse/", Idempotent: true, Rank: 2, MaxAttempts: 2,
				Timeout: 3 * time.Second, Objective: time.Second, Services: []policy.WeightedService{{Service: "walks", Weight: 1}},
			},
			{
				ID: "book", Host: "trails.example", Prefix: "/book/", Rank: 1, MaxAttempts: 2,
				Timeout: 3 * time.Second, Objective: time.Second, Services: []policy.WeightedService{{Service: "walks", Weight: 1}},
			},
			{
				ID: "lookup", Host: "trails.example", Prefix: "/lookup/", Idempotent: true, Public: true, Rank: 1, MaxAttempts: 2,
				Timeout: 3 * time.Second, Objective: time.Second, Services: []policy.WeightedService{{Service: "walks", Weight: 1}},
			},
		},
		Customers: []policy.Customer{{ID: "school", Keys: []string{"school-key"}, RatePerSecond: 10, Burst: 10}},
	})
	Expect(err).NotTo(HaveOccurred())
	h.snapshot = snapshot
	var records []roster.Record
	for i := range hosts {
		name := id.HostID(fmt.Sprintf("h%d", i))
		records = append(records, roster.Record{
			Host: name, Domain: "north", Service: "walks", State: roster.Serving, Slots: 5, Target: roster.TargetIncarnation{ID: "t", StartedMS: 1},
		})
		h.gates[name] = answer(http.StatusOK)
	}
	chooser := choose.New("self", "north", 1)
	chooser.SetView(roster.NewView(records))
	chooser.SetRegions(func(domain id.FailureDomain) string { return string(domain) + " region" })
	h.chooser = choose.NewShared(chooser, h.clock)
	h.entry = entry.New(entry.Config{
		Service: "desk", Headers: headers, Policy: h, PolicyBound: func() time.Duration { return h.policyBound }, Limits: h, Chooser: h.chooser, Sender: h,
		Clock: h.clock, Pauses: h, Random: func() float64 { return h.random }, StopLeft: func() time.Duration { return time.Until(h.stopOver) },
		Draining: h.draining, StopEnds: h.endOfStop,
		Refusing: func() bool { return false }, Stopping: h.stopping, Ending: h.ending,
		Log: zerolog.New(zerolog.SyncWriter(&h.lines)), Metrics: noMetrics{}, CrashEvidence: h,
	})
	return h
}

// endOfStop returns when a planned stop ends.
func (h *harness) endOfStop() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopEnds
}

// beginStop begins a planned stop.
func (h *harness) beginStop(length time.Duration) {
	h.mu.Lock()
	h.stopEnds = time.Now().Add(length)
	h.mu.Unlock()
	close(h.draining)
}

// Policy implements entry.PolicySource.
func (h *harness) Policy() (*policy.Snapshot, time.Duration) { return h.snapshot, h.policyAge }

// Admit implements entry.Admitter.
func (h *harness) Admit(context.Context, id.CustomerID) error { return h.denied }

// Send implements entry.Sender.
func (h *harness) Send(ctx context.Context, host id.HostID, a *link.Attempt, signals link.Signals) *link.Result {
	h.mu.Lock()
	h.sent = append(h.sent, sentAttempt{host: host, attempt: *a})
	gate := h.gates[host]
	h.mu.Unlock()
	return gate(ctx, a, signals)
}

// Age implements entry.Pauses.
func (h *harness) Age() time.Duration { return h.paused }

// Any implements entry.CrashEvidence.
func (h *harness) Any() bool { return h.poison != "" }

// Quarantined implements entry.CrashEvidence.
func (h *harness) Quarantined(fingerprint string) bool { return fingerprint == h.poison }

// attempts returns the attempts that were sent so far.
func (h *harness) attempts() []sentAttempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent
}

// setGate sets the behaviour of one gate.
func (h *harness) setGate(host id.HostID, gate gateFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gates[host] = gate
}

// setDomains sets the failure domains of the hosts; the entry is in the domain north.
func (h *harness) setDomains(domains ...id.FailureDomain) {
	var records []roster.Record
	for i, domain := range domains {
		records = append(records, roster.Record{
			Host: id.HostID(fmt.Sprintf("h%d", i)), Domain: domain, Service: "walks", State: roster.Serving, Slots: 5,
			Target: roster.TargetIncarnation{ID: "t", StartedMS: 1},
		})
	}
	h.chooser.SetView(roster.NewView(records))
}

// setGates sets the behaviour of every gate.
func (h *harness) setGates(gate gateFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for host := range h.gates {
		h.gates[host] = gate
	}
}

// setFirstGate sets the gate behaviour that the next attempt meets, and the one that all later attempts meet.
func (h *harness) setFirstGate(first, others gateFunc) {
	var once sync.Once
	h.setGates(func(ctx context.Context, a *link.Attempt, signals link.Signals) *link.Result {
		chosen := others
		once.Do(func() { chosen = first })
		return chosen(ctx, a, signals)
	})
}

// do sends a request and returns the response.
func (h *harness) do(method, path, body string, edit ...func(*http.Request)) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "trails.example"
	r.Header.Set("Request-Id", "r1")
	r.Header.Set("Authorization", "Bearer school-key")
	for _, e := range edit {
		e(r)
	}
	recorder := httptest.NewRecorder()
	h.entry.ServeHTTP(recorder, r)
	return recorder
}

// answer returns a gate whose target answers with a status.
func answer(status int) gateFunc {
	return func(_ context.Context, _ *link.Attempt, signals link.Signals) *link.Result {
		signals.Started()
		return &link.Result{
			Verdict: hop.Ran, Reason: link.Answered, Status: status, Header: http.Header{"Seal": {"s"}}, Body: []byte("done"), Length: 4,
		}
	}
}

// refuse returns a gate that refuses attempts for a reason.
func refuse(reason link.Reason, retryAfter time.Duration) gateFunc {
	return func(context.Context, *link.Attempt, link.Signals) *link.Result {
		return &link.Result{Verdict: hop.NotRun, Reason: reason, RetryAfter: retryAfter}
	}
}

// breakConnection is a gate whose target breaks the connection without an answer.
func breakConnection(context.Context, *link.Attempt, link.Signals) *link.Result {
	return &link.Result{Verdict: hop.Unknown, Reason: link.TargetBroken}
}

// queue is a gate that keeps attempts waiting for a slot until they are cancelled.
func queue(ctx context.Context, _ *link.Attempt, signals link.Signals) *link.Result {
	signals.Queued()
	<-ctx.Done()
	return &link.Result{Verdict: hop.NotRun, Reason: link.Ended, Err: context.Cause(ctx)}
}

// hang returns a gate that starts an attempt and returns the verdict only when the attempt is cancelled.
func hang(verdict hop.Verdict, overdue bool) gateFunc {
	return func(ctx context.Context, _ *link.Attempt, signals link.Signals) *link.Result {
		signals.Started()
		if overdue {
			signals.Overdue()
		}
		<-ctx.Done()
		return &link.Result{Verdict: verdict, Reason: link.Ended, Err: context.Cause(ctx)}
	}
}

// noMetrics discards all metrics.
type noMetrics struct{}

func (noMetrics) Request(int, string, time.Duration) {}
func (noMetrics) Repeat()                            {}
func (noMetrics) Begin()                             {}
func (noMetrics) End()                               {}
