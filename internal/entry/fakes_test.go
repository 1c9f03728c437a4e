package entry_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/id"
	ledgers "buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// validKey is the only key that the fakes accept.
const validKey = "k-3f9a77c2d1"

// directory fakes the catalogue, the keys, the rate limits, the quarantine, the tickets, the picker and the targets'
// health.
type directory struct {
	mu          sync.Mutex
	service     catalogue.Service
	validFor    time.Duration
	revoked     bool
	overRate    bool
	quarantined bool
	listed      bool
	admitted    int
	feedbacks   []entry.Feedback
	targets     []entry.Candidate
	// matched is the path for which a route was last asked.
	matched string
}

func (d *directory) Authenticate(key string, _ clock.Time) (entry.Identity, error) {
	if key != validKey {
		return entry.Identity{}, &entry.Refusal{Code: problem.KeyInvalid}
	}
	return entry.Identity{Customer: "alpha", KeyID: "key-1", ValidFor: d.validFor}, nil
}

func (d *directory) Match(method, _, path string) (catalogue.Route, catalogue.Service, bool) {
	d.mu.Lock()
	d.matched = path
	d.mu.Unlock()
	switch path {
	case "/browse":
		return catalogue.Route{ID: "browse", Service: "walks", Idempotent: true, OpenToAll: true}, d.service, true
	case "/book":
		return catalogue.Route{ID: "book", Service: "walks", OpenToAll: true}, d.service, true
	case "/listed":
		return catalogue.Route{ID: "listed", Service: "walks", Idempotent: true}, d.service, true
	}
	if strings.Contains(path, "forms") {
		return catalogue.Route{ID: "forms", Service: "walks", Idempotent: true, OpenToAll: true}, d.service, true
	}
	return catalogue.Route{}, catalogue.Service{}, false
}

func (d *directory) ListsCustomer(id.RouteID, id.CustomerID) bool { return d.listed }

func (d *directory) Check(string) entry.QuarantineVerdict {
	return entry.QuarantineVerdict{Quarantined: d.quarantined}
}

func (d *directory) Admit(context.Context, id.CustomerID) (entry.Admission, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admitted++
	if d.overRate {
		return entry.Admission{}, &entry.Refusal{Code: problem.RateExceeded, RetryAfter: time.Second}
	}
	return entry.Admission{ValidFor: d.validFor}, nil
}

func (d *directory) Pick(_ id.ServiceName, exclude []id.TargetID, _ bool) (entry.Candidate, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.targets {
		if !slices.Contains(exclude, c.Target) {
			return c, true
		}
	}
	return entry.Candidate{}, false
}

func (d *directory) PickIsolated(id.ServiceName, string) (entry.Candidate, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[len(d.targets)-1], true
}

func (d *directory) Report(f entry.Feedback) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.feedbacks = append(d.feedbacks, f)
}

func (d *directory) Issue(customer id.CustomerID, count int) ([]string, error) {
	var tickets []string
	for i := range count {
		tickets = append(tickets, fmt.Sprintf("%s-%d", customer, i))
	}
	return tickets, nil
}

func (d *directory) Service(id.ServiceName) (catalogue.Service, bool) { return d.service, true }

func (d *directory) Weight(id.CustomerID) int { return 1 }

func (d *directory) Revoked(catalogue.KeyID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revoked
}

func (d *directory) Observe(gate.Observation) {}

func (d *directory) Eligible(id.TargetID, clock.Time) gate.Eligibility {
	return gate.Eligibility{Admit: gate.AdmitAll, Weight: 1}
}

// ledger is a fake that keeps claims in a map.
type ledger struct {
	mu   sync.Mutex
	next entry.Decision
	// err is returned instead of next.
	err      error
	outcomes []entry.Outcome
	// byKey holds the outcomes by idempotency key.
	byKey map[entry.ClaimID][]entry.Outcome
	// strict makes Begin decide by the claims instead of returning err.
	strict  bool
	running map[entry.ClaimID]bool
}

func (l *ledger) Begin(_ context.Context, _ id.CustomerID, key, _ string) (entry.Decision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision := l.next
	decision.Claim = entry.ClaimID(key)
	if l.strict {
		return decision, l.decide(decision.Claim)
	}
	return decision, l.err
}

// decide permits one run per key; the error refuses any other.
func (l *ledger) decide(claim entry.ClaimID) error {
	ended := l.byKey[claim]
	switch {
	case l.running[claim]:
		return refusalFor(ledgers.InProgress)
	case len(ended) > 0 && ended[len(ended)-1].Kind != entry.RunRefused:
		return refusalFor(ledgers.Unknown)
	}
	l.running[claim] = true
	return nil
}

// refusalFor returns the refusal that package ledger gives for a decision.
func refusalFor(kind ledgers.Kind) error {
	details, ok := ledgers.Decision{Kind: kind}.Refusal()
	if !ok {
		panic("not a refusal: " + kind.String())
	}
	return &entry.Refusal{
		Code: details.Code, Run: details.Run, Send: details.Send, Detail: details.Detail, RetryAfter: details.RetryAfter,
	}
}

func (l *ledger) Finish(_ context.Context, claim entry.ClaimID, o entry.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
	if l.byKey == nil {
		l.byKey = map[entry.ClaimID][]entry.Outcome{}
	}
	delete(l.running, claim)
	l.byKey[claim] = append(l.byKey[claim], o)
}

// outcomesOf returns the recorded outcomes of one idempotency key.
func (l *ledger) outcomesOf(key string) []entry.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.byKey[entry.ClaimID(key)])
}

// recordedOutcomes returns all outcomes in the order of their recording.
func (l *ledger) recordedOutcomes() []entry.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.outcomes)
}

// reported returns the feedback so far.
func (d *directory) reported() []entry.Feedback {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.feedbacks)
}

// noGateQuarantine is a quarantine of a gate that lets every request start.
type noGateQuarantine struct{}

func (noGateQuarantine) MayStart(string) bool { return true }
