package entry_test

import (
	"context"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

var _ = Describe("Entry", func() {
	Context("load", func() {
		// Guards against refusing callers while a gate would have room soon.
		It("queues at a gate when all are full", func() {
			h := newHarness(3)
			h.setGates(func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				if a.MaxQueueWait == 0 {
					return refuse(link.Reason(slots.Full), 50*time.Millisecond)(ctx, a, s)
				}
				return answer(http.StatusOK)(ctx, a, s)
			})
			Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
		})

		// Guards against callers that wait for a third of a long deadline and are then refused: on the heavy days of
		// zfb-mesh, lookups with a deadline of 30 s were refused after 8 s. All gates are full here.
		It("queues only as long as the objective can be met", func() {
			h := newHarness(3)
			h.setGates(func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				s.Started()
				time.Sleep(300 * time.Millisecond)
				return answer(http.StatusOK)(ctx, a, s)
			})
			for range 5 {
				Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
			}
			before := len(h.attempts())
			h.setGates(func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				s.Queued()
				time.Sleep(a.MaxQueueWait)
				return refuse(link.Reason(slots.Full), 100*time.Millisecond)(ctx, a, s)
			})
			started := time.Now()
			Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusServiceUnavailable))
			Expect(time.Since(started)).To(BeNumerically("<", 1500*time.Millisecond))
			for _, sent := range h.attempts()[before:] {
				Expect(sent.attempt.MaxQueueWait).To(BeNumerically("<=", 750*time.Millisecond))
			}
		})

		// Guards against a refusal without Retry-After, or one that comes only at the deadline.
		It("refuses at once with the shortest wait that a gate expects", func() {
			h := newHarness(3)
			h.setGates(refuse(link.Reason(slots.Full), 700*time.Millisecond))
			started := time.Now()
			response := h.do("POST", "/book/1", "seats")
			Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(response.Header().Get("Retry-After")).To(Equal("0.700"))
			Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		})

		// Guards against callers that retry at once although their request has just queued without getting a slot.
		It("returns a longer Retry-After when the request queued without getting a slot", func() {
			h := newHarness(2)
			h.setGates(func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				if a.MaxQueueWait > 0 {
					s.Queued()
					time.Sleep(400 * time.Millisecond)
				}
				return refuse(link.Reason(slots.Full), 100*time.Millisecond)(ctx, a, s)
			})
			response := h.do("POST", "/book/1", "seats")
			seconds, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(seconds).To(BeNumerically(">=", 0.2))
			Expect(seconds).To(BeNumerically("<", 1))
		})

		// Guards against requests that stay in a full failure domain until they are lost, although another has room.
		It("leaves the failure domain after a wait in vain", func() {
			h := newHarness(2)
			h.random = 0.95
			h.setDomains("north", "south")
			h.setGate("h0", refuse(link.Reason(slots.Full), 900*time.Millisecond))
			for range 4 {
				h.chooser.Observe("h0", choose.Observation{Kind: choose.Busy, Backoff: 100 * time.Millisecond})
				h.chooser.Observe("h1", choose.Observation{Kind: choose.Busy, Backoff: 100 * time.Millisecond})
			}
			h.clock.Leap(300 * time.Millisecond)
			Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
			var hosts []id.HostID
			var waits []time.Duration
			for _, sent := range h.attempts() {
				hosts, waits = append(hosts, sent.host), append(waits, sent.attempt.MaxQueueWait)
			}
			Expect(hosts).To(Equal([]id.HostID{"h0", "h0", "h1"}))
			Expect(waits[1]).To(BeNumerically(">", 0))
			Expect(waits[2]).To(BeZero())
		})

		// Guards against refusing all requests of a service because all of its targets are suspected.
		It("uses a suspected target when no other is left", func() {
			h := newHarness(3)
			h.setGates(func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				if !a.Forced {
					return refuse(link.Reason(slots.Suspected), 0)(ctx, a, s)
				}
				return answer(http.StatusOK)(ctx, a, s)
			})
			Expect(h.do("POST", "/book/1", "seats").Code).To(Equal(http.StatusOK))
		})
	})
})
