package gate_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// fakeDeps implements the dependencies of a gate.
type fakeDeps struct {
	mu       sync.Mutex
	admit    gate.Admit
	observed []gate.Observation
}

func (w *fakeDeps) Service(name id.ServiceName) (catalogue.Service, bool) {
	return catalogue.Service{Name: name, QueueLimit: 5, ProgressTimeout: time.Second}, true
}
func (w *fakeDeps) Weight(id.CustomerID) int     { return 1 }
func (w *fakeDeps) Revoked(catalogue.KeyID) bool { return false }
func (w *fakeDeps) Eligible(id.TargetID, clock.Time) gate.Eligibility {
	w.mu.Lock()
	defer w.mu.Unlock()
	return gate.Eligibility{Admit: w.admit, Weight: 1}
}

func (w *fakeDeps) Observe(o gate.Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observed = append(w.observed, o)
}

// setAdmit changes which attempts all targets admit.
func (w *fakeDeps) setAdmit(admit gate.Admit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admit = admit
}

// events returns the observed events.
func (w *fakeDeps) events() []gate.Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []gate.Event
	for _, o := range w.observed {
		all = append(all, o.Event)
	}
	return all
}

var _ = Describe("Gate", func() {
	var w *fakeDeps
	var fake *clock.Fake
	var g *gate.Gate

	BeforeEach(func() {
		w, fake = &fakeDeps{admit: gate.AdmitAll}, &clock.Fake{}
		g = gate.New(gate.Config{Host: "h", Incarnation: 7}, gate.Deps{
			Quarantine: noQuarantine{},
			Clock:      fake, Catalogue: w, Revocations: w, Health: w, Order: gate.NewFIFO(), Log: zerolog.Nop(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		started := g
		go func() { _ = started.Run(ctx) }()
		DeferCleanup(cancel)
	})

	announce := func(body string) int {
		recorder := httptest.NewRecorder()
		g.Announce(recorder, httptest.NewRequest(http.MethodPost, targetapi.AnnouncePath, strings.NewReader(body)))
		return recorder.Code
	}
	// send runs one attempt and returns its verdict and reason.
	send := func(number byte, class hop.Class) (string, string) {
		request := httptest.NewRequest(http.MethodGet, hop.Path, nil)
		hop.Request{
			Attempt: id.AttemptID{number}, Remaining: 300 * time.Millisecond, Customer: "alpha", Service: "walks",
			Class: class, KeyID: "key-1", ValidUntil: g.Clock(), URI: "/",
		}.Encode(request.Header)
		recorder := httptest.NewRecorder()
		g.ServeHTTP(recorder, request)
		return recorder.Header().Get(hop.HeaderVerdict), recorder.Header().Get(hop.HeaderReason)
	}
	target := func() string {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		DeferCleanup(server.Close)
		return server.Listener.Addr().String()
	}
	serving := func(address, instance string) string {
		return `{"name":"t1","service":"walks","address":"` + address + `","slots":2,"state":"serving","gate":"7","instance":"` + instance + `"}`
	}

	// Guards against targets that stay listed after they stopped announcing themselves.
	It("removes a target that has not announced itself for more than 5 s", func() {
		Expect(announce(serving("127.0.0.1:9", "a"))).To(Equal(http.StatusNoContent))
		fake.Advance(5 * time.Second)
		Consistently(g.Targets, "250ms").Should(HaveLen(1))
		fake.Advance(time.Millisecond)
		Eventually(g.Targets).Should(BeEmpty())
		Expect(w.events()).To(Equal([]gate.Event{gate.Expired}))
		_, reason := send(1, hop.Once)
		Expect(reason).To(Equal("no-target"))
	})

	// Guards against a restart between two announcements that is not detected.
	It("detects that a target's process was replaced", func() {
		announce(serving("127.0.0.1:9", "a"))
		announce(serving("127.0.0.1:9", "b"))
		Expect(g.Targets()).To(HaveLen(1))
		Expect(w.events()).To(Equal([]gate.Event{gate.Restarted}))
	})

	// Guards against malformed announcements whose values get into headers, logs or addresses.
	DescribeTable("rejected announcements",
		func(body string) { Expect(announce(body)).To(Equal(http.StatusBadRequest)) },
		Entry("not JSON", "slots"),
		Entry("name", `{"name":"a b","service":"walks","address":"127.0.0.1:9","slots":2,"state":"serving"}`),
		Entry("address", `{"name":"a","service":"walks","address":"example:9","slots":2,"state":"serving"}`),
		Entry("slots", `{"name":"a","service":"walks","address":"127.0.0.1:9","slots":0,"state":"serving"}`),
		Entry("state", `{"name":"a","service":"walks","address":"127.0.0.1:9","slots":2,"state":"idle"}`),
		Entry("too large", `{"name":"`+strings.Repeat("a", 5000)+`"}`),
	)

	// Guards against a trial of a suspected target with a request that must not run twice.
	It("uses only idempotent attempts as trials of a suspected target", func() {
		announce(serving(target(), "a"))
		w.setAdmit(gate.AdmitTrial)
		verdict, reason := send(1, hop.Once)
		Expect(verdict + " " + reason).To(Equal("not-run no-target"))
		verdict, _ = send(2, hop.Idempotent)
		Expect(verdict).To(Equal("ran"))
	})

	// Guards against an attempt that runs a second time when it arrives a second time.
	It("runs an attempt id once", func() {
		announce(serving(target(), "a"))
		verdict, _ := send(1, hop.Once)
		Expect(verdict).To(Equal("ran"))
		verdict, _ = send(1, hop.Once)
		Expect(verdict).To(Equal("unknown"))
		Expect(w.events()).To(Equal([]gate.Event{gate.Dispatched, gate.Completed}))
	})

	// Guards against a not-run outcome for an attempt that runs afterwards or has already run.
	It("blocks an attempt that is resolved before it arrives", func() {
		announce(serving(target(), "a"))
		Expect(g.Resolve(id.AttemptID{1}).String()).To(Equal("not-run"))
		verdict, reason := send(1, hop.Once)
		Expect(verdict + " " + reason).To(Equal("not-run attempt-blocked"))
		Expect(w.events()).To(BeEmpty())
		send(2, hop.Once)
		Expect(g.Resolve(id.AttemptID{2}).String()).To(Equal("ran"))
	})

	// Guards against an unknown verdict for a target that refuses connections.
	It("reports not-run when no connection can be made", func() {
		announce(serving("127.0.0.1:9", "a"))
		verdict, _ := send(1, hop.Once)
		Expect(verdict).To(Equal("not-run"))
		Expect(w.events()).To(Equal([]gate.Event{gate.ConnectFailed}))
		Expect(g.Targets()[0].InFlight).To(BeZero())
	})
})

// noQuarantine lets every request start.
type noQuarantine struct{}

func (noQuarantine) MayStart(string) bool { return true }
