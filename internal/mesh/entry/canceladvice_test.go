package entry_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// adviseAndAnswer is a gate whose target answers late, if the attempt is not cancelled as advised.
func adviseAndAnswer(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
	s.Started()
	s.CancelAdvised()
	select {
	case <-time.After(300 * time.Millisecond):
		return answer(http.StatusOK)(ctx, a, s)
	case <-ctx.Done():
		return adviseCancelling(ctx, a, s)
	}
}

// answerAfter is a gate whose target takes some time to answer.
func answerAfter(work time.Duration) gateFunc {
	return func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
		s.Started()
		time.Sleep(work)
		return answer(http.StatusOK)(ctx, a, s)
	}
}

var _ = Describe("Entry", func() {
	Context("advice to cancel an attempt", func() {
		// Guards against callers that lose the answer to a running booking in a planned stop.
		It("is not followed in a planned stop", func() {
			h := newHarness(1)
			h.stopOver = time.Now().Add(time.Minute)
			h.setGates(adviseAndAnswer)
			Expect(h.do("POST", "/book/1", "seats").Code).To(Equal(http.StatusOK))
		})

		// Guards against running bookings that are broken off for others, also right before a stop signal is noticed.
		It("is never followed for the only attempt of a request", func() {
			h := newHarness(1)
			h.setGates(adviseAndAnswer)
			Expect(h.do("POST", "/book/1", "seats").Code).To(Equal(http.StatusOK))
			Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
		})

		// Guards against hung attempts that keep their slots until their deadlines since their advice came in a stop.
		It("is followed when the planned stop is over", func() {
			h := newHarness(2)
			started := time.Now()
			h.stopOver = started.Add(400 * time.Millisecond)
			var cancelled time.Duration
			h.setFirstGate(func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				result := adviseCancelling(ctx, a, s)
				cancelled = time.Since(started)
				return result
			}, answerAfter(2*time.Second))
			Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
			Expect(cancelled).To(BeNumerically(">=", 400*time.Millisecond))
			Expect(cancelled).To(BeNumerically("<", 2*time.Second))
		})

		// Guards against two idempotent attempts cancelled in a planned stop, of which the one that goes on then fails.
		It("leaves both attempts of a hedged request to run in a planned stop", func() {
			h := newHarness(2)
			h.stopOver = time.Now().Add(time.Minute)
			h.setFirstGate(adviseAndAnswer, func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				s.Started()
				time.Sleep(100 * time.Millisecond)
				return breakConnection(ctx, a, s)
			})
			Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
			Expect(h.attempts()).To(HaveLen(2))
		})
	})
})
