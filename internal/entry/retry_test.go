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

// failing answers every request with an error.
func failing(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

var _ = Describe("retries and deadlines", func() {
	var s *stack

	BeforeEach(func() {
		s = newStack(ginkgoCleaner{})
	})

	// Guards against a gray target that costs its callers every idempotent request.
	It("repeats an idempotent request with its body after a target error", func() {
		s.addGate("t1", 1, failing)
		good := &targetLog{}
		s.addGate("t2", 1, good.ServeHTTP)
		Expect(s.do(s.request(http.MethodPost, "/browse", strings.NewReader("filter"))).body).To(Equal("done"))
		Expect(good.dump()).To(HaveSuffix("filter"))
	})

	// Guards against a booking that is repeated after a target error, and against an error that is hidden.
	It("delivers a target error of a booking", func() {
		s.addGate("t1", 1, failing)
		good := &targetLog{}
		s.addGate("t2", 1, good.ServeHTTP)
		Expect(s.book().status).To(Equal(http.StatusInternalServerError))
		Expect(good.count()).To(BeZero())
	})

	// Guards against retries that multiply the load when a service is down.
	It("limits retries to a fifth of the requests and a reserve", func() {
		first, second := &targetLog{serve: failing}, &targetLog{serve: failing}
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

	// Guards against a refusal when only the way to one gate is broken, and against evidence about the path
	// that is lost.
	It("tries another gate when one cannot be reached", func() {
		_, candidate := s.addGate("t1", 1, (&targetLog{}).ServeHTTP)
		s.directory.targets[0].Gate = "127.0.0.1:9"
		s.addGate("t2", 1, (&targetLog{}).ServeHTTP)
		for range 50 {
			Expect(s.book().status).To(Equal(http.StatusOK))
		}
		Expect(s.directory.reported()[0].Kind).To(Equal(entry.PathFailed))
		Expect(s.directory.reported()[0].Candidate.Target).To(Equal(candidate.Target))
	})

	// Guards against a refusal when a gate was restarted, so that the entry's reading of its clock is void, and
	// against stamps that a restarted gate takes for valid.
	It("stamps anew for a gate that was restarted", func() {
		target := &targetLog{}
		_, candidate := s.addGate("t1", 1, target.ServeHTTP)
		Expect(s.book().status).To(Equal(http.StatusOK))
		reading := hop.GateClock{Incarnation: 6, Millis: 1 << 40}
		s.sender.ObserveClock(candidate.Gate, reading, s.clock.Now())
		Expect(s.book().status).To(Equal(http.StatusOK))
		Expect(target.count()).To(Equal(2))
		Expect(s.directory.reported()[1].Reason).To(Equal(problem.ValidityExpired))
	})

	// Guards against a target that is not told the caller's deadline.
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

	// Guards against an untrue statement about a booking whose time is up: one that runs may have taken
	// effect, one that waits has not.
	It("tells a running booking from a waiting one when the time is up", func() {
		target := &targetLog{serve: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
		g, _ := s.addGate("t1", 1, target.ServeHTTP)
		answers := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			request := s.request(http.MethodPost, "/book", nil)
			request.Header.Set("Request-Timeout-Ms", "600")
			answers <- s.do(request)
		}()
		Eventually(func() int { return busy(g) }).Should(Equal(1))
		waiting := s.bookShort()
		Expect(waiting.problem.Code).To(Equal(problem.DeadlineTooShort))
		Expect(waiting.problem.Run).To(Equal(problem.NotRun))
		var running answer
		Eventually(answers, 3*time.Second).Should(Receive(&running))
		Expect(running.problem.Run).To(Equal(problem.Unknown))
		Expect(target.count()).To(Equal(1))
	})
})
