package entry_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

var _ = Describe("Entry", func() {
	Context("hedge", func() {
		// learn lets the entry learn that work usually takes 50 ms.
		learn := func(h *harness) {
			h.setGates(answerAfter(50 * time.Millisecond))
			for range 8 {
				Expect(h.do("GET", "/browse/usual", "").Code).To(Equal(http.StatusOK))
			}
		}

		// Guards against running requests that could be repeated and that a planned stop breaks off.
		It("begins in time before a planned stop ends", func() {
			const stop = 600 * time.Millisecond
			h := newHarness(2)
			learn(h)
			h.setFirstGate(hang(hop.Unknown, false), answerAfter(50*time.Millisecond))
			before := len(h.attempts())
			time.AfterFunc(100*time.Millisecond, func() { h.beginStop(stop) })
			time.AfterFunc(100*time.Millisecond+stop, func() { close(h.ending) })
			Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
			sent := h.attempts()[before:]
			Expect(sent).To(HaveLen(2))
			Expect(sent[1].attempt.Remaining).To(BeNumerically("<=", stop))
		})

		It("does not repeat a booking before a planned stop ends", func() {
			h := newHarness(2)
			learn(h)
			h.setGates(hang(hop.Unknown, false))
			before := len(h.attempts())
			h.beginStop(300 * time.Millisecond)
			time.AfterFunc(300*time.Millisecond, func() { close(h.ending) })
			Expect(h.do("POST", "/book/1", "seats").Code).To(BeNumerically(">=", http.StatusBadGateway))
			Expect(h.attempts()[before:]).To(HaveLen(1))
		})

		// Guards against a hedge that is thrown away when the first target reports that its deadline has passed.
		It("goes on when the attempt beside it ends with a failure", func() {
			h := newHarness(2)
			learn(h)
			h.setFirstGate(func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				s.Started()
				s.Overdue()
				time.Sleep(200 * time.Millisecond)
				return answer(http.StatusGatewayTimeout)(ctx, a, s)
			}, answerAfter(500*time.Millisecond))
			Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
		})

		// Guards against hanging requests that a stop breaks off because all gates were full for a moment.
		It("is tried again in a planned stop when no gate took it", func() {
			h := newHarness(2)
			learn(h)
			busyUntil := time.Now().Add(500 * time.Millisecond)
			time.AfterFunc(200*time.Millisecond, func() { h.beginStop(2500 * time.Millisecond) })
			h.setFirstGate(hang(hop.Unknown, true), func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				if time.Now().Before(busyUntil) {
					return &link.Result{Verdict: hop.NotRun, Reason: link.Reason(slots.Full)}
				}
				return answer(http.StatusOK)(ctx, a, s)
			})
			Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
		})
	})
})
