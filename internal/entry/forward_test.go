package entry_test

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
	"buckthornlatch.example/buckthornlatch/rpc/fate"
)

// issuer is another daemon, which issued the ticket.
type issuer struct {
	ledger  *ledger
	address string
	server  *httptest.Server
}

// addIssuer starts a daemon that answers forwarded requests with the stack's targets.
func (s *stack) addIssuer(fault func(http.Handler) http.Handler) *issuer {
	i := &issuer{ledger: &ledger{}}
	g := gate.New(gate.Config{Host: "issuer", Incarnation: 9}, gate.Deps{
		Clock: s.clock, Catalogue: s.directory, Revocations: s.directory, Health: s.directory,
		Order: gate.NewFIFO(), Log: zerolog.Nop(),
	})
	e := entry.New(entry.Config{}, entry.Deps{
		Clock: s.clock, Router: s.directory, Quarantine: s.directory, Ledger: i.ledger, Picker: s.directory,
		Sender: s.sender, Attempts: g, Random: rand.Reader, Log: zerolog.Nop(),
	})
	mux := http.NewServeMux()
	mux.Handle(hop.Path, g)
	mux.Handle(hop.ForwardPath, fault(http.HandlerFunc(e.Forwarded)))
	mux.Handle(fate.FatePathPrefix, fate.NewFateServer(gate.NewFateServer(g)))
	i.server = httptest.NewServer(mux)
	s.t.Cleanup(i.server.Close)
	i.address = i.server.Listener.Addr().String()
	s.ledger.next = entry.Decision{Kind: entry.Forward, Peer: i.address}
	return i
}

// direct is no fault.
func direct(h http.Handler) http.Handler { return h }

var _ = Describe("a ticket of another daemon", func() {
	var s *stack
	var target *targetLog

	BeforeEach(func() {
		s = newStack(ginkgoCleaner{})
		target = &targetLog{}
		s.addGate("t1", 1, target.ServeHTTP)
	})

	// Guards against a ticket that is decided by a daemon that does not hold its claims.
	It("is run and recorded by its issuer", func() {
		i := s.addIssuer(direct)
		Expect(s.book().body).To(Equal("done"))
		Expect(target.dump()).To(ContainSubstring("seat"))
		Expect(target.dump()).NotTo(ContainSubstring(validKey))
		Expect(target.dump()).To(ContainSubstring("X-Customer-Id: alpha"))
		Eventually(i.ledger.ended).Should(HaveLen(1))
		Expect(string(i.ledger.ended()[0].Recorded.Body)).To(Equal("done"))
		Expect(s.ledger.ended()).To(BeEmpty())
		Expect(s.directory.admitted).To(Equal(1))
	})

	// Guards against a large booking that is cut on the way to its issuer.
	It("is forwarded with a large body", func() {
		s.addIssuer(direct)
		request := s.request(http.MethodPost, "/book", strings.NewReader(strings.Repeat("z", 500_000)))
		request.Header.Set("Idempotency-Key", "order-1")
		Expect(s.do(request).body).To(Equal("done"))
		Expect(strings.Count(target.dump(), "z")).To(BeNumerically(">=", 500_000))
	})

	DescribeTable("the issuer's decision",
		func(d entry.Decision, code problem.Code, run, send problem.Run) {
			i := s.addIssuer(direct)
			i.ledger.next = d
			got := s.book()
			Expect(got.problem.Code).To(Equal(code))
			Expect(got.problem.Run).To(Equal(run))
			Expect(got.problem.Send).To(Equal(send))
			Expect(target.count()).To(BeZero())
			s.ledger.next = d
			Expect(s.book().problem).To(Equal(got.problem))
		},
		Entry("in progress", entry.Decision{Kind: entry.InProgress}, problem.InProgress, problem.Unknown, problem.NotRun),
		Entry("expired", entry.Decision{Kind: entry.Expired, SendNotRun: true}, problem.TicketExpired, problem.Unknown, problem.NotRun),
		Entry("unknown", entry.Decision{Kind: entry.Unknown}, problem.OutcomeUnknown, problem.Unknown, problem.Run("")),
		Entry("invalid", entry.Decision{Kind: entry.Invalid}, problem.TicketInvalid, problem.NotRun, problem.Run("")),
		Entry("reused", entry.Decision{Kind: entry.KeyReused}, problem.KeyReused, problem.Unknown, problem.NotRun),
		Entry("store", entry.Decision{Kind: entry.StoreUnavailable}, problem.ClaimStoreUnavailable, problem.Unknown, problem.NotRun),
		Entry("lost", entry.Decision{Kind: entry.IssuerLost, SendNotRun: true}, problem.IssuerLost, problem.Unknown, problem.NotRun),
	)

	// Guards against a replay that runs again or is delivered without its recorded form.
	It("is replayed", func() {
		i := s.addIssuer(direct)
		recorded := entry.Recorded{Status: http.StatusCreated, Header: http.Header{"Location": {"/b/1"}}, Body: []byte("booked")}
		i.ledger.next = entry.Decision{Kind: entry.Replay, Recorded: recorded}
		got := s.book()
		Expect(got.status).To(Equal(http.StatusCreated))
		Expect(got.body).To(Equal("booked"))
		Expect(got.header.Get("Location")).To(Equal("/b/1"))
		Expect(target.count()).To(BeZero())
	})

	DescribeTable("a broken way to the issuer",
		func(fault func(http.Handler) http.Handler, stop bool, runs int, send problem.Run) {
			i := s.addIssuer(fault)
			if stop {
				i.server.Close()
			}
			got := s.book()
			Expect(got.problem.Run).To(Equal(problem.Unknown))
			Expect(got.problem.Send).To(Equal(send))
			Expect(target.count()).To(Equal(runs))
		},
		Entry("no connection", direct, true, 0, problem.NotRun),
		Entry("request lost", lostRequest, false, 0, problem.NotRun),
		Entry("answer lost", lostAnswer, false, 1, problem.Run("")),
	)

	// Guards against a forwarded request that runs after its permission has expired.
	It("is not taken after its permission expired", func() {
		s.addIssuer(direct)
		s.directory.validFor = -time.Second
		got := s.book()
		Expect(got.problem.Code).To(Equal(problem.ValidityExpired))
		Expect(got.problem.Send).To(Equal(problem.NotRun))
		Expect(target.count()).To(BeZero())
	})
})

var _ = Describe("the record of a run", func() {
	DescribeTable("kept answers",
		func(size int, kept bool) {
			s := newStack(ginkgoCleaner{})
			s.addGate("t1", 1, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/b/1")
				w.Header().Set("Set-Cookie", "private=1")
				_, _ = w.Write(make([]byte, size))
			})
			Expect(s.book().body).To(HaveLen(size))
			Eventually(s.ledger.ended).Should(HaveLen(1))
			outcome := s.ledger.ended()[0]
			Expect(outcome.Kind).To(Equal(entry.RunAnswered))
			Expect(outcome.Kept).To(Equal(kept))
			if kept {
				Expect(outcome.Recorded.Body).To(HaveLen(size))
				Expect(outcome.Recorded.Header).To(HaveKey("Location"))
				Expect(outcome.Recorded.Header).NotTo(HaveKey("Set-Cookie"))
			}
		},
		// Guards against a replay of a part of an answer.
		Entry("at the limit", 64<<10, true),
		Entry("above the limit", 64<<10+1, false),
	)

	// Guards against a claim that stays open when its caller is gone.
	It("ends as unknown when the caller disconnects", func() {
		s := newStack(ginkgoCleaner{})
		started := make(chan struct{})
		target := &targetLog{serve: func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
		}}
		s.addGate("t1", 1, target.ServeHTTP)
		request := s.request(http.MethodPost, "/book", strings.NewReader("seat"))
		request.Header.Set("Idempotency-Key", "order-1")
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			s.do(request.WithContext(ctx))
		}()
		Eventually(started).Should(BeClosed())
		cancel()
		Eventually(s.ledger.ended, "3s").Should(HaveLen(1))
		Expect(s.ledger.ended()[0].Kind).To(Equal(entry.RunUnknown))
	})
})
