package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// book sends a booking with an idempotency key.
func (s *stack) book() answer {
	request := s.request(http.MethodPost, "/book", strings.NewReader("seat"))
	request.Header.Set("Idempotency-Key", "order-1")
	return s.do(request)
}

var _ = Describe("a broken hop", func() {
	var s *stack
	var first, second *recordingTarget

	BeforeEach(func() {
		s = newStack(ginkgoCleaner{})
		first, second = &recordingTarget{}, &recordingTarget{}
	})

	// Guards against refusing a booking that provably did not run at the first gate and could run at another.
	It("moves a booking to another gate when the request was lost before dispatch", func() {
		s.addGateWithFault("t1", 1, first.ServeHTTP, lostRequest)
		s.addGate("t2", 1, second.ServeHTTP)
		Expect(s.book().status).To(Equal(http.StatusOK))
		Expect([]int{first.count(), second.count()}).To(Equal([]int{0, 1}))
		Eventually(s.ledger.recordedOutcomes).Should(HaveLen(1))
		Expect(s.ledger.recordedOutcomes()[0].Kind).To(Equal(entry.RunAnswered))
		Expect(string(s.ledger.recordedOutcomes()[0].Recorded.Body)).To(Equal("done"))
	})

	DescribeTable("an unusable answer after dispatch",
		func(fault func(http.Handler) http.Handler) {
			s.addGateWithFault("t1", 1, first.ServeHTTP, fault)
			s.addGate("t2", 1, second.ServeHTTP)
			got := s.book()
			Expect(got.problem.Run).To(Equal(problem.Unknown))
			Expect([]int{first.count(), second.count()}).To(Equal([]int{1, 0}))
			Expect(got.problem.Code).To(Equal(problem.AnswerNotKept))
			Eventually(s.ledger.recordedOutcomes).Should(HaveLen(1))
			Expect(s.ledger.recordedOutcomes()[0].Kind).To(Equal(entry.RunAnswered))
			Expect(s.ledger.recordedOutcomes()[0].Kept).To(BeFalse())

			Expect(s.do(s.request(http.MethodGet, "/browse", nil)).body).To(Equal("done"))
			Expect([]int{first.count(), second.count()}).To(Equal([]int{2, 1}))
		},
		// Guards against a second run of a booking whose answer was lost.
		Entry("lost", lostAnswer),
		// Guards against the delivery of another request's answer.
		Entry("crossed", crossedAnswer),
	)

	// Guards against a second run of a booking whose gate was killed after the dispatch and restarted: that the new
	// process has no record of the attempt does not prove that it did not run.
	It("does not use a restarted gate's answer about an attempt of its earlier process", func() {
		s.resolver = func(*gate.Gate) *gate.Gate { return s.newGate("t1", 8) }
		s.addGateWithFault("t1", 1, first.ServeHTTP, lostAnswer)
		s.resolver = nil
		s.addGate("t2", 1, second.ServeHTTP)
		got := s.book()
		Expect(got.problem.Run).To(Equal(problem.Unknown))
		Expect([]int{first.count(), second.count()}).To(Equal([]int{1, 0}))
	})

	// Guards against passing on a body as complete that ends without the certificate of completeness.
	It("aborts the caller's connection when the certificate is missing", func() {
		s.addGateWithFault("t1", 1, func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			_, _ = w.Write([]byte("half"))
		}, uncertifiedAnswer)
		Expect(s.do(s.request(http.MethodGet, "/browse", nil)).err).To(HaveOccurred())
	})

	// Guards against passing on or recording a target's truncated answer as complete.
	It("aborts the caller's connection when the target's body is truncated", func() {
		s.addGate("t1", 1, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("ten bytes."))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		got := s.book()
		Expect(got.err).To(HaveOccurred())
		Eventually(s.ledger.recordedOutcomes).Should(HaveLen(1))
		Expect(s.ledger.recordedOutcomes()[0].Kind).To(Equal(entry.RunUnknown))
	})

	// Guards against two runs when a request is delayed on a silent connection and arrives at the gate after the
	// booking has run elsewhere.
	It("blocks a booking on a silent connection before it runs it elsewhere", func() {
		release := make(chan struct{})
		var late sync.WaitGroup
		late.Add(1)
		_, candidate := s.addGateWithFault("t1", 1, first.ServeHTTP, func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Bl-Attempt") == "" {
					next.ServeHTTP(w, r)
					return
				}
				defer late.Done()
				<-release
				next.ServeHTTP(&discardWriter{header: http.Header{}}, r.WithContext(context.Background()))
			})
		})
		s.addGate("t2", 1, second.ServeHTTP)
		Expect(s.book().status).To(Equal(http.StatusOK))
		close(release)
		late.Wait()
		Expect([]int{first.count(), second.count()}).To(Equal([]int{0, 1}))
		Expect(s.directory.reported()[0].Kind).To(Equal(entry.PathStalled))
		Expect(s.directory.reported()[0].Candidate).To(Equal(candidate))
	})

	// Guards against treating a slow target as a silent connection.
	It("waits for a target that is slower than the hop's silence limit", func() {
		s.directory.service.ProgressTimeout = 4 * time.Second
		s.addGate("t1", 1, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(2 * time.Second)
			fmt.Fprint(w, "slow")
		})
		got := s.book()
		Expect(got.body).To(Equal("slow"))
	})

	// Guards against a hung target that keeps a request until its deadline.
	It("gives up a target without progress", func() {
		s.directory.service.ProgressTimeout = 300 * time.Millisecond
		first.serve = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		s.addGate("t1", 1, first.ServeHTTP)
		s.addGate("t2", 1, second.ServeHTTP)
		Expect(s.do(s.request(http.MethodGet, "/browse", nil)).body).To(Equal("done"))
		Expect(s.book().problem.Code).To(Equal(problem.OutcomeUnknown))
	})

	// Guards against work that continues after the caller has disconnected, and against a slot that stays in use.
	It("cancels the target's request when the caller disconnects", func() {
		cancelled := make(chan struct{})
		started := make(chan struct{})
		g, _ := s.addGate("t1", 1, func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(cancelled)
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			s.do(s.request(http.MethodGet, "/browse", nil).WithContext(ctx))
		}()
		Eventually(started).Should(BeClosed())
		cancel()
		Eventually(cancelled).Should(BeClosed())
		Eventually(func() int { return g.Targets()[0].InFlight }).Should(BeZero())
	})
})
