package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/daemon"
	"buckthornlatch.example/buckthornlatch/internal/mesh/dialect/dialecttest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/logging"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/statesync"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// headers are the header names of the tests.
var headers = dialecttest.Headers()

// fleet is a number of daemons with one target each and a common store.
type fleet struct {
	store *store
	hosts []*host
	// grace is the grace period of the daemons.
	grace time.Duration

	mu sync.Mutex
	// late is how late the daemons notice a stop signal.
	late time.Duration
}

// noticeLate sets how late the daemons notice a stop signal.
func (f *fleet) noticeLate(late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = late
}

// signalDelay returns how late a stop signal is noticed.
func (f *fleet) signalDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.late
}

// host is a daemon with its target.
type host struct {
	daemon  *daemon.Daemon
	address id.HostID
	callers string
	probes  string
	service id.ServiceName
	target  *httptest.Server
	stop    context.CancelFunc
	ended   chan struct{}

	mu sync.Mutex
	// runs counts the runs of each request id at the target.
	runs map[string]int
	// handler replaces the target's default response unless it is nil. Runs are counted in either case.
	handler http.HandlerFunc
	// healthy is the target that the health page names; empty if the page answers 503.
	healthy string
	// started is set once the host's daemon was started for the first time.
	started bool
	// onLine is called with the message of each line of the log before the daemon goes on, unless it is nil.
	onLine func(message string)
}

// Run implements zerolog.Hook.
func (h *host) Run(_ *zerolog.Event, _ zerolog.Level, message string) {
	h.mu.Lock()
	call := h.onLine
	h.mu.Unlock()
	if call != nil {
		call(message)
	}
}

// setOnLine sets onLine.
func (h *host) setOnLine(call func(message string)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onLine = call
}

// panicPath is the path of probes whose handler panics.
const panicPath = "/panic"

// rosterDelay is longer than the pause between two watches of the roster.
const rosterDelay = 1500 * time.Millisecond

// freeAddress returns a loopback address that was free a moment ago. Its IP address is a random one, since on 127.0.0.1 the outgoing
// connections of other tests take ports, too.
func freeAddress() string {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// newFleet starts n hosts of the service "walks" and waits until their rosters are complete.
func newFleet(n int) *fleet { return newFleetWithGrace(n, time.Second) }

// newFleetWithGrace is newFleet with another grace period than one second.
func newFleetWithGrace(n int, grace time.Duration) *fleet {
	f := &fleet{store: newStore(), grace: grace}
	f.store.setPolicy(1, "school-key")
	for range n {
		f.add()
	}
	for _, h := range f.hosts {
		Eventually(func() int { return h.get("/book/ready", "school-key").status }, "10s").Should(Equal(http.StatusOK))
	}
	// The last host's record reaches the others after the pause between two watches.
	time.Sleep(rosterDelay)
	return f
}

// add starts one more host.
func (f *fleet) add() *host {
	h := &host{service: "walks", runs: map[string]int{}, healthy: "t"}
	h.target = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			h.serveHealth(w)
			return
		}
		_, _ = io.ReadAll(r.Body)
		h.mu.Lock()
		h.runs[r.Header.Get("Request-Id")]++
		serve := h.handler
		h.mu.Unlock()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if serve != nil {
			serve(w, r)
			return
		}
		w.Header().Set("Seal", "s")
		fmt.Fprint(w, "done")
	}))
	DeferCleanup(h.target.Close)
	h.address, h.callers, h.probes = id.HostID(freeAddress()), freeAddress(), freeAddress()
	f.start(h)
	f.hosts = append(f.hosts, h)
	return h
}

// start starts a host's daemon and announces its target.
func (f *fleet) start(h *host) {
	f.startUnannounced(h)
	h.announce(roster.Serving, 1)
}

// startUnannounced starts a host's daemon. Its target does not announce itself.
func (f *fleet) startUnannounced(h *host) {
	lines := logging.New(GinkgoWriter, string(h.address))
	lines.Events, lines.Decisions = lines.Events.Hook(h), lines.Decisions.Hook(h)
	first := !h.started
	h.started = true
	h.daemon = daemon.New(daemon.Config{
		FirstStart: first,
		Host:       h.address, Domain: "north", Service: h.service, TargetAddress: strings.TrimPrefix(h.target.URL, "http://"),
		Callers: h.callers, Peers: string(h.address), Probes: h.probes, Headers: headers,
		Bounds: func() daemon.Bounds {
			return daemon.Bounds{Grace: f.grace, Policy: 2 * time.Second, RepeatRatio: 0.2, RepeatSlack: 50, RepeatWindow: 10 * time.Second}
		},
		Store: f.store, Keys: statesync.Keys{PolicyPrefix: "op/", PolicyKey: "op/policy", EvacuationPrefix: "op/evacuate/", HostPrefix: "hosts/"},
		DecodePolicy: decodePolicy, Seeds: func() []id.HostID { return nil },
		TargetHandler: func(daemon.Announcer) http.Handler { return http.NotFoundHandler() },
		ProbeHandler: func(ready func() bool) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == panicPath {
					panic("for the test")
				}
				if !ready() {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		},
		SignalDelay: f.signalDelay,
		Loggers:     lines,
	})
	Expect(h.daemon.Provision()).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.ended = cancel, make(chan struct{})
	ended := h.ended
	go func() {
		defer GinkgoRecover()
		defer close(ended)
		Expect(h.daemon.Run(ctx)).To(Succeed())
		h.daemon.Cleanup()
		_ = lines.Close()
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(ended, "10s").Should(BeClosed())
	})
}

// healthPath is the path of the targets' health pages.
const healthPath = "/health"

// serveHealth serves the health page of the host's target.
func (h *host) serveHealth(w http.ResponseWriter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.healthy == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headers.Instance, h.healthy)
}

// setHealthy sets the target that the health page names.
func (h *host) setHealthy(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.healthy = target
}

// announce announces the host's target.
func (h *host) announce(state roster.State, sequence uint64) {
	Expect(h.daemon.Announce(gate.Announcement{
		Target: roster.TargetIncarnation{ID: "t", StartedMS: 1}, Service: h.service, State: state, Slots: 4, Sequence: sequence,
	})).To(Succeed())
}

// setHandler replaces the default response of the host's target.
func (h *host) setHandler(serve http.HandlerFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handler = serve
}

// runsOf returns how often all targets have run a request.
func (f *fleet) runsOf(request string) int {
	runs := 0
	for _, h := range f.hosts {
		h.mu.Lock()
		runs += h.runs[request]
		h.mu.Unlock()
	}
	return runs
}

// callResult is the response to a caller, or the error of its request.
type callResult struct {
	status     int
	body       string
	retryAfter string
	err        error
}

// get sends an idempotent request.
func (h *host) get(path, key string) callResult { return h.send(http.MethodGet, path, key, "get"+path) }

// post sends a booking, which is not idempotent, with a request ID.
func (h *host) post(key, request string) callResult {
	return h.send(http.MethodPost, "/book/"+request, key, request)
}

// send sends a request to the host's daemon.
func (h *host) send(method, path, key, request string) callResult {
	r, err := http.NewRequest(method, "http://"+h.callers+path, strings.NewReader("seats"))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "trails.example"
	r.Header.Set("Request-Id", request)
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, body: string(body), retryAfter: response.Header.Get("Retry-After"), err: err}
}

// document is the encoding of the tests' policies.
type document struct {
	Version uint64
	Key     string
}

// operatorHeaderBytes and operatorHeaderTimeout are the limits of the tests' policies. The time is longer than the pauses of callers in other specs.
const (
	operatorHeaderBytes   = 8 << 10
	operatorHeaderTimeout = 2 * time.Second
)

// limitedKey is the key of a customer with a rate.
const limitedKey = "club-key"

// decodePolicy decodes a test's policy, which has an idempotent, a booking and an upload route to one service and one
// customer.
func decodePolicy(raw []byte) (policy.Document, error) {
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		return policy.Document{}, err
	}
	part := []policy.WeightedService{{Service: "walks", Weight: 1}}
	return policy.Document{
		Version: policy.Version(d.Version), Raw: raw, Services: []string{"walks"},
		HealthPaths: map[id.ServiceName]string{"walks": healthPath},
		Routes: []policy.Route{
			{ID: "browse", Host: "trails.example", Prefix: "/browse/", Idempotent: true, Rank: 2, MaxAttempts: 3, Timeout: 3 * time.Second, Objective: time.Second, Services: part},
			{ID: "book", Host: "trails.example", Prefix: "/book/", Rank: 1, MaxAttempts: 3, Timeout: 3 * time.Second, Objective: time.Second, Services: part},
			{ID: "photos", Host: "trails.example", Prefix: "/photos/", Rank: 1, MaxAttempts: 3, Timeout: time.Minute, Services: part},
		},
		Customers: []policy.Customer{
			{ID: "school", Keys: []string{d.Key}},
			{ID: "club", Keys: []string{limitedKey}, RatePerSecond: 100, Burst: 100},
		},
		Bounds: policy.Bounds{HeaderBytes: operatorHeaderBytes, HeaderTimeout: operatorHeaderTimeout},
	}, nil
}

// store is an in-memory row store that can be made unavailable.
type store struct {
	memory *platform.Memory

	mu      sync.Mutex
	changed chan struct{}
	down    bool
	// downPrefix, if set, makes the rows with this prefix unavailable.
	downPrefix string
}

// newStore returns an empty store.
func newStore() *store {
	return &store{memory: platform.NewMemory(), changed: make(chan struct{})}
}

// setPolicy writes a policy in which one key is valid.
func (s *store) setPolicy(version uint64, key string) {
	s.put("op/policy", document{Version: version, Key: key})
}

// put writes a row.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	_, err = s.memory.Table().Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: key, Value: raw}}})
	Expect(err).NotTo(HaveOccurred())
	s.notifyWatches()
}

// setDown makes the store unavailable or available again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.notifyWatches()
}

// setDownPrefix makes the rows with a prefix unavailable, or all available again if it is empty.
func (s *store) setDownPrefix(prefix string) {
	s.mu.Lock()
	s.downPrefix = prefix
	s.mu.Unlock()
	s.notifyWatches()
}

// notifyWatches wakes all watches.
func (s *store) notifyWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns the channel that notifyWatches closes, or an error while the store or the rows with a prefix are
// unavailable.
func (s *store) state(prefix string) (chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || (s.downPrefix != "" && strings.HasPrefix(prefix, s.downPrefix)) {
		return nil, &platform.NotDoneError{Step: "call", Err: io.ErrUnexpectedEOF}
	}
	return s.changed, nil
}

// Commit implements platform.Feed.
func (s *store) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	if _, err := s.state(""); err != nil {
		return 0, err
	}
	defer s.notifyWatches()
	return s.memory.Table().Commit(ctx, txn)
}

// Scan implements platform.Feed.
func (s *store) Scan(ctx context.Context, prefix, after string, limit int) (platform.Rows, error) {
	if _, err := s.state(prefix); err != nil {
		return platform.Rows{}, err
	}
	return s.memory.Table().Scan(ctx, prefix, after, limit)
}

// Watch implements platform.Feed.
func (s *store) Watch(ctx context.Context, prefix string, since platform.Revision, wait time.Duration) (platform.Rows, error) {
	timeout := time.After(wait)
	for {
		changed, err := s.state(prefix)
		if err != nil {
			return platform.Rows{}, err
		}
		rows, err := s.memory.Table().Changes(ctx, prefix, since, 100)
		if err != nil || len(rows.Rows) > 0 {
			return rows, err
		}
		select {
		case <-changed:
		case <-timeout:
			return rows, nil
		case <-ctx.Done():
			return platform.Rows{}, &platform.NotDoneError{Step: "watch", Err: ctx.Err()}
		}
	}
}
