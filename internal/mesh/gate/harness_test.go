package gate_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/clock/clocktest"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/crashes"
	"buckthornlatch.example/buckthornlatch/internal/mesh/dialect/dialecttest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// headers are the header names that the tests use.
var headers = dialecttest.Headers()

// harness is a gate behind a listener, with a target and a client of another host.
type harness struct {
	gate   *gate.Gate
	host   id.HostID
	client *link.Client
	// clock is the gate's clock.
	clock *clocktest.Leaping
	// evidence is the gate's evidence of crashes; listener is the target's listener.
	evidence *crashes.Evidence
	listener net.Listener

	mu        sync.Mutex
	published []roster.Record
	// publishBlocked, if set, blocks publications until it is closed.
	publishBlocked chan struct{}
	// seen are the requests that the target received.
	seen []*http.Request
	// serve handles the target's requests.
	serve http.HandlerFunc
	// healthy is the target that the health page names; empty if the page answers 503, in the name of unhealthy.
	healthy, unhealthy string
	// stopTime is how long a planned stop of a host waits for targets.
	stopTime time.Duration
	// dispatched, if set, is called between the last check of an attempt at the gate and the connection to the target.
	dispatched func()
}

// watchedEvidence calls a function when an attempt is dispatched.
type watchedEvidence struct {
	*crashes.Evidence
	h *harness
}

// Started implements gate.CrashEvidence.
func (w watchedEvidence) Started(fingerprint string) {
	w.Evidence.Started(fingerprint)
	w.h.mu.Lock()
	dispatched := w.h.dispatched
	w.h.mu.Unlock()
	if dispatched != nil {
		dispatched()
	}
}

// newHarness returns a gate whose target has two slots.
func newHarness(serve http.HandlerFunc) *harness {
	h := &harness{client: link.NewClient(), serve: serve, clock: clocktest.NewLeaping(), healthy: "t"}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			h.serveHealth(w)
			return
		}
		h.mu.Lock()
		h.seen = append(h.seen, r)
		serve := h.serve
		h.mu.Unlock()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		serve(w, r)
	}))
	DeferCleanup(target.Close)
	h.listener = target.Listener
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	h.host = id.HostID(listener.Addr().String())
	written := make(chan struct{})
	close(written)
	h.evidence = crashes.New(h.host, 1, clock.NewSystem())
	h.gate = gate.New(gate.Config{
		Host: h.host, Domain: "north", Service: "walks", TargetAddress: strings.TrimPrefix(target.URL, "http://"),
		Headers: headers, FirstStart: true, Clock: h.clock, StopTime: func() time.Duration { return h.stopTime }, PolicyVersion: func() policy.Version { return 7 },
		PublishRecord: func(r roster.Record) <-chan struct{} {
			h.mu.Lock()
			h.published = append(h.published, r)
			blocked := h.publishBlocked
			h.mu.Unlock()
			if blocked != nil {
				<-blocked
			}
			return written
		},
		AttemptLog: zerolog.Nop(), EventLog: zerolog.Nop(), Metrics: noMetrics{}, CrashEvidence: watchedEvidence{h.evidence, h},
	})
	h.gate.SetEvacuation(false)
	h.gate.RecordRead(false)
	h.gate.SetRepeatBudget(slots.RepeatBudget{Allowance: 10, Window: 10 * time.Second})
	server := &http.Server{Handler: h.gate, ConnContext: hangup.WithConn}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	Expect(h.announce(roster.Serving, 1, 1)).To(Succeed())
	return h
}

// announce announces the target "t" with a start time.
func (h *harness) announce(state roster.State, born int64, sequence uint64) error {
	return h.gate.Announce(h.announcement(state, born, sequence))
}

// announcement returns an announcement of the target "t".
func (h *harness) announcement(state roster.State, born int64, sequence uint64) gate.Announcement {
	return gate.Announcement{
		Target: roster.TargetIncarnation{ID: "t", StartedMS: born}, Service: "walks", State: state, Slots: 2, Sequence: sequence,
	}
}

// record returns the record of the host with the first start of the target "t".
func (h *harness) record(state roster.State) roster.Record {
	return roster.Record{
		Host: h.host, Service: "walks", State: state, Slots: 2, Target: roster.TargetIncarnation{ID: "t", StartedMS: 1},
	}
}

// requests returns the requests that the target received.
func (h *harness) requests() []*http.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen
}

// attempt returns an attempt with a body.
func attempt(body string, edit ...func(*link.Attempt)) *link.Attempt {
	a := &link.Attempt{
		Service: "walks", Caller: "desk", Route: "book", Customer: "school", Rank: 1, Remaining: 2 * time.Second, Objective: time.Second,
		Method: "POST", URI: "/book/1?seats=2", Host: "trails.example",
		Header: http.Header{"Request-Id": {"r1"}, "Customer": {"forged"}, "X-Note": {"kept"}},
		Body:   &link.Body{Data: []byte(body), Length: int64(len(body))},
	}
	for _, e := range edit {
		e(a)
	}
	return a
}

func idempotent(a *link.Attempt) { a.Idempotent, a.Method = true, "GET" }

// sendRemote sends an attempt from another host.
func (h *harness) sendRemote(ctx context.Context, a *link.Attempt) (*link.Result, *signals) {
	s := &signals{}
	return h.client.Send(ctx, h.host, a, s), s
}

// signals records the signals of a gate.
type signals struct {
	mu   sync.Mutex
	seen []string
}

func (s *signals) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, name)
}

func (s *signals) Queued()        { s.add("queued") }
func (s *signals) Started()       { s.add("started") }
func (s *signals) Overdue()       { s.add("overdue") }
func (s *signals) CancelAdvised() { s.add("hopeless") }

// names returns the names of the signals received so far.
func (s *signals) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

// noMetrics discards metrics.
type noMetrics struct{}

func (noMetrics) Attempt(string, string, time.Duration, time.Duration) {}

// healthPath is the path of the target's health page.
const healthPath = "/health"

// serveHealth serves the health page.
func (h *harness) serveHealth(w http.ResponseWriter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.healthy == "" {
		w.Header().Set(headers.Instance, h.unhealthy)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headers.Instance, h.healthy)
}

// setHealthy sets the target that the health page names.
func (h *harness) setHealthy(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.healthy = target
}

// setUnhealthy makes the health page answer 503 in the name of a target.
func (h *harness) setUnhealthy(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.healthy, h.unhealthy = "", target
}

// restart returns the gate of another process on the host, which has read its record and knows that its failure domain is in service.
func (h *harness) restart() *gate.Gate {
	restarted := h.restartUnread()
	restarted.RecordRead(true)
	return restarted
}

// restartUnread is restart without having read the record.
func (h *harness) restartUnread() *gate.Gate {
	config := h.gate.Config()
	config.FirstStart = false
	restarted := gate.New(config)
	restarted.SetEvacuation(false)
	restarted.SetHealthPath(healthPath)
	return restarted
}

// verdictOf sends an attempt to a gate and returns its verdict.
func verdictOf(g *gate.Gate) hop.Verdict {
	return g.Do(context.Background(), attempt("seats"), &signals{}).Verdict
}
