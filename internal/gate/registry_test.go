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

// world is a fake of what a gate needs.
type world struct {
	mu       sync.Mutex
	admit    gate.Admit
	observed []gate.Observation
}

func (w *world) Service(name id.ServiceName) (catalogue.Service, bool) {
	return catalogue.Service{Name: name, QueueLimit: 5, ProgressTimeout: time.Second}, true
}
func (w *world) Weight(id.CustomerID) int     { return 1 }
func (w *world) Revoked(catalogue.KeyID) bool { return false }
func (w *world) Eligible(id.TargetID, clock.Time) gate.Eligibility {
	w.mu.Lock()
	defer w.mu.Unlock()
	return gate.Eligibility{Admit: w.admit, Weight: 1}
}

func (w *world) Observe(o gate.Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observed = append(w.observed, o)
}

// judge changes the judgement on all targets.
func (w *world) judge(admit gate.Admit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admit = admit
}

// events returns the observed events.
func (w *world) events() []gate.Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []gate.Event
	for _, o := range w.observed {
		all = append(all, o.Event)
	}
	return all
}

var _ = Describe("Gate", func() {
	var w *world
	var fake *clock.Fake
	var g *gate.Gate

	BeforeEach(func() {
		w, fake = &world{admit: gate.AdmitAll}, &clock.Fake{}
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
		return `{"name":"t1","service":"walks","address":"` + address + `","slots":2,"state":"serving","instance":"` + instance + `"}`
	}

	// Guards against targets that stay listed after they fell silent.
	It("forgets a target after 5 s of silence", func() {
		Expect(announce(serving("127.0.0.1:9", "a"))).To(Equal(http.StatusNoContent))
		fake.Advance(5 * time.Second)
		Consistently(g.Targets, "250ms").Should(HaveLen(1))
		fake.Advance(time.Millisecond)
		Eventually(g.Targets).Should(BeEmpty())
		Expect(w.events()).To(Equal([]gate.Event{gate.Vanished}))
		_, reason := send(1, hop.Once)
		Expect(reason).To(Equal("no-target"))
	})

	// Guards against a restart that goes unnoticed between two announcements.
	It("notices a target's new process", func() {
		announce(serving("127.0.0.1:9", "a"))
		announce(serving("127.0.0.1:9", "b"))
		Expect(g.Targets()).To(HaveLen(1))
		Expect(w.events()).To(Equal([]gate.Event{gate.Restarted}))
	})

	// Guards against malformed announcements that enter headers, logs or addresses.
	DescribeTable("rejected announcements",
		func(body string) { Expect(announce(body)).To(Equal(http.StatusBadRequest)) },
		Entry("not JSON", "slots"),
		Entry("name", `{"name":"a b","service":"walks","address":"127.0.0.1:9","slots":2,"state":"serving"}`),
		Entry("address", `{"name":"a","service":"walks","address":"example:9","slots":2,"state":"serving"}`),
		Entry("slots", `{"name":"a","service":"walks","address":"127.0.0.1:9","slots":0,"state":"serving"}`),
		Entry("state", `{"name":"a","service":"walks","address":"127.0.0.1:9","slots":2,"state":"idle"}`),
		Entry("too large", `{"name":"`+strings.Repeat("a", 5000)+`"}`),
	)

	// Guards against a trial of a suspect target with a request that must not run twice.
	It("tries a suspect target with idempotent attempts only", func() {
		announce(serving(target(), "a"))
		w.judge(gate.AdmitTrial)
		verdict, reason := send(1, hop.Once)
		Expect(verdict + " " + reason).To(Equal("not-run no-target"))
		verdict, _ = send(2, hop.Idempotent)
		Expect(verdict).To(Equal("ran"))
	})

	// Guards against an attempt that runs again when it arrives again.
	It("runs an attempt id once", func() {
		announce(serving(target(), "a"))
		verdict, _ := send(1, hop.Once)
		Expect(verdict).To(Equal("ran"))
		verdict, _ = send(1, hop.Once)
		Expect(verdict).To(Equal("unknown"))
		Expect(w.events()).To(Equal([]gate.Event{gate.Dispatched, gate.Completed}))
	})

	// Guards against a not-run answer after which the attempt runs, and against a false one.
	It("blocks an attempt that it is asked about before it arrives", func() {
		announce(serving(target(), "a"))
		Expect(g.Resolve(id.AttemptID{1}).String()).To(Equal("not-run"))
		verdict, reason := send(1, hop.Once)
		Expect(verdict + " " + reason).To(Equal("not-run attempt-blocked"))
		Expect(w.events()).To(BeEmpty())
		send(2, hop.Once)
		Expect(g.Resolve(id.AttemptID{2}).String()).To(Equal("ran"))
	})

	// Guards against a dead target that is reported as "may have run".
	It("proves not-run when no connection can be made", func() {
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
