package entry_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/callerconn"
	"buckthornlatch.example/buckthornlatch/internal/mesh/crashes"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// chain is the whole way of a request: a caller's connection, an entry, the link through a proxy, a gate and a target.
type chain struct {
	target *hoptest.Target
	gate   *gate.Gate
	// proxy is between the entry and the gate.
	proxy  *hoptest.Proxy
	client *link.Client
	// local makes the entry use its own host's gate.
	local bool
	// callers is the address for callers.
	callers string
	handler atomic.Pointer[http.Handler]
}

// newChain starts a chain until the spec ends.
func newChain(respond func(conn net.Conn, r *http.Request) bool) *chain {
	target, err := hoptest.NewTarget(respond)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(target.Close)
	c := newChainTo(target.Address())
	c.target = target
	return c
}

// newChainTo starts a chain to the target at an address.
func newChainTo(target string) *chain {
	c := &chain{client: link.NewClient()}
	written := make(chan struct{})
	close(written)
	c.gate = gate.New(gate.Config{
		Host: "h0", Domain: "north", Service: "walks", TargetAddress: target, Headers: headers, FirstStart: true, Clock: clock.NewSystem(),
		StopTime: func() time.Duration { return time.Second }, PolicyVersion: func() policy.Version { return 7 },
		PublishRecord: func(roster.Record) <-chan struct{} { return written },
		AttemptLog:    zerolog.Nop(), EventLog: zerolog.Nop(), Metrics: noGateMetrics{}, CrashEvidence: crashes.New("h0", 1, clock.NewSystem()),
	})
	c.gate.SetEvacuation(false)
	c.gate.RecordRead(false)
	Expect(c.gate.Announce(gate.Announcement{
		Target: roster.TargetIncarnation{ID: "t", StartedMS: 1}, Service: "walks", State: roster.Serving, Slots: 8, Sequence: 1,
	})).To(Succeed())
	gateAddress := serveChain(c.gate, nil)
	var err error
	c.proxy, err = hoptest.NewProxy(gateAddress)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.proxy.Close)
	c.renewEntry()
	c.callers = serveChain(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		(*c.handler.Load()).ServeHTTP(w, r)
	}), &callerconn.Front{
		MayServeAhead: func(r *http.Request) bool { return r.URL.Path != "/book/1" },
		Draining:      func() bool { return false },
	})
	return c
}

// serveChain serves on a free address, with callers' connections if there is a front, and returns the address.
func serveChain(handler http.Handler, front *callerconn.Front) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler}
	address := listener.Addr().String()
	if front != nil {
		front.Handler = handler
		server.Handler, server.ConnContext, listener = front, front.ConnContext, front.Listener(listener)
	}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return address
}

// renewEntry replaces the entry by one that knows nothing of earlier failures and would otherwise refuse.
func (c *chain) renewEntry() {
	h := newHarness(1)
	h.setGates(func(ctx context.Context, a *link.Attempt, signals link.Signals) *link.Result {
		// The gate uses its target also when it suspects it.
		a.Forced = true
		if c.local {
			return c.gate.Do(ctx, a, signals)
		}
		return c.client.Send(ctx, id.HostID(c.proxy.Address()), a, signals)
	})
	handler := http.Handler(h.entry)
	c.handler.Store(&handler)
}

// chainRequest returns a request's head, to which the caller's connection header may be added.
func chainRequest(method, path, requestID, extra string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: trails.example\r\nRequest-Id: " + requestID +
		"\r\nAuthorization: Bearer school-key\r\n" + extra + "\r\n"
}

// noGateMetrics discards the gate's metrics.
type noGateMetrics struct{}

func (noGateMetrics) Attempt(string, string, time.Duration, time.Duration) {}
