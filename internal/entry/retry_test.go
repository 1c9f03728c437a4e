package entry_test

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// failingTarget is a target that answers every request with status 500.
func failingTarget(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

var _ = Describe("retries and deadlines", func() {
	var s *stack

	BeforeEach(func() {
		s = newStack(ginkgoCleaner{})
	})

	// Guards against a failing target that makes every idempotent request sent to it fail.
	It("retries an idempotent request with its body after a target error", func() {
		s.addGate("t1", 1, failingTarget)
		good := &recordingTarget{}
		s.addGate("t2", 1, good.ServeHTTP)
		Expect(s.do(s.request(http.MethodPost, "/browse", strings.NewReader("filter"))).body).To(Equal("done"))
		Expect(good.dump()).To(HaveSuffix("filter"))
	})

	// Guards against a booking that is retried after a target error, and against replacing the error.
	It("delivers a target error of a booking", func() {
		s.addGate("t1", 1, failingTarget)
		good := &recordingTarget{}
		s.addGate("t2", 1, good.ServeHTTP)
		Expect(s.book().status).To(Equal(http.StatusInternalServerError))
		Expect(good.count()).To(BeZero())
	})

	// Guards against retries that multiply the load while a service fails.
	It("limits retries to a fifth of the requests and a burst", func() {
		first, second := &recordingTarget{serve: failingTarget}, &recordingTarget{serve: failingTarget}
		s.addGate("t1", 1, first.ServeHTTP)
		s.addGate("t2", 1, second.ServeHTTP)
		const requests = 200
		for range requests {
			s.do(s.request(http.MethodGet, "/browse", nil))
		}
		Expect(first.count()).To(Equal(requests))
		Expect(second.count()).To(BeNumerically("<=", requests/5+20))
		Expect(second.count()).To(BeNumerically(">=", requests/5))
	})

	// Guards against a refusal when only one gate is unreachable, and against a failed path that is not reported to
	// the picker.
	It("tries another gate when one cannot be reached", func() {
		_, candidate := s.addGate("t1", 1, (&recordingTarget{}).ServeHTTP)
		s.directory.targets[0].Gate = "127.0.0.1:9"
		s.addGate("t2", 1, (&recordingTarget{}).ServeHTTP)
		for range 50 {
			Expect(s.book().status).To(Equal(http.StatusOK))
		}
		Expect(s.directory.reported()[0].Kind).To(Equal(entry.PathFailed))
		Expect(s.directory.reported()[0].Candidate.Target).To(Equal(candidate.Target))
	})

	// Guards against a refusal after a gate's restart, which invalidates the entry's reading of the gate's clock, and
	// against a gate that accepts stamps of its earlier process.
	It("sends a new stamp to a restarted gate", func() {
		target := &recordingTarget{}
		_, candidate := s.addGate("t1", 1, target.ServeHTTP)
		Expect(s.book().status).To(Equal(http.StatusOK))
		reading := hop.GateClock{Incarnation: 6, Millis: 1 << 40}
		s.sender.ObserveClock(candidate.Gate, reading, s.clock.Now())
		Expect(s.book().status).To(Equal(http.StatusOK))
		Expect(target.count()).To(Equal(2))
		Expect(s.directory.reported()[1].Reason).To(Equal(problem.ValidityExpired))
	})

	// Guards against a target that does not get the remaining time, or gets more than the service's limit.
	It("tells the target the remaining time, at most the service's", func() {
		s.addGate("t1", 1, func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(r.Header.Get("X-Request-Timeout-Ms")))
		})
		for stated, limit := range map[string]int{"700": 700, "900000": 5000, "": 5000} {
			request := s.request(http.MethodGet, "/browse", nil)
			if stated != "" {
				request.Header.Set("Request-Timeout-Ms", stated)
			}
			left, err := strconv.Atoi(s.do(request).body)
			Expect(err).NotTo(HaveOccurred())
			Expect(left).To(And(BeNumerically(">", limit-500), BeNumerically("<=", limit)))
		}
	})

	// Guards against a wrong statement about a booking whose deadline has passed: a dispatched one may have taken
	// effect, a queued one has not.
	It("distinguishes a running booking from a queued one at the deadline", func() {
		target := &recordingTarget{serve: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
		g, _ := s.addGate("t1", 1, target.ServeHTTP)
		answers := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			request := s.request(http.MethodPost, "/book", nil)
			request.Header.Set("Request-Timeout-Ms", "600")
			answers <- s.do(request)
		}()
		Eventually(func() int { return slotsInUse(g) }).Should(Equal(1))
		waiting := s.bookWithShortDeadline()
		Expect(waiting.problem.Code).To(Equal(problem.DeadlineTooShort))
		Expect(waiting.problem.Run).To(Equal(problem.NotRun))
		var running answer
		Eventually(answers, 3*time.Second).Should(Receive(&running))
		Expect(running.problem.Run).To(Equal(problem.Unknown))
		Expect(target.count()).To(Equal(1))
	})
})
