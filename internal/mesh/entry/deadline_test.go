package entry_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

var _ = Describe("Entry", func() {
	Context("deadlines", func() {
		// Guards against a repeat that cannot be answered in time and wastes the retry budget: on trouble-3 of
		// zfb-mesh, reads that hung until 15 ms before their deadline were then attempted once more.
		It("prevent a repeat when too little time is left", func() {
			h := newHarness(3)
			h.setGates(func(_ context.Context, a *link.Attempt, signals link.Signals) *link.Result {
				signals.Started()
				time.Sleep(a.Remaining - 15*time.Millisecond)
				return &link.Result{Verdict: hop.Ran, Reason: link.Answered, Status: http.StatusGatewayTimeout, Header: http.Header{"Seal": {"s"}}}
			})
			response := h.do("GET", "/browse/1", "", func(r *http.Request) { r.Header.Set("Deadline", "300") })
			Expect(response.Code).To(Equal(http.StatusGatewayTimeout))
			Expect(h.attempts()).To(HaveLen(1))
		})

		// Guards against an unknown outcome for a request that only queued: a booking could then not be made again.
		It("end a request that only queued with a refusal that guarantees it has not run", func() {
			h := newHarness(2)
			h.setGates(queue)
			response := h.do("POST", "/book/1", "seats", func(r *http.Request) { r.Header.Set("Deadline", "300") })
			Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(response.Header().Get("Retry-After")).NotTo(BeEmpty())
		})

		// Guards against a read that waits for a gate whose host has failed: on trouble-3 of zfb-mesh such a read had
		// no second attempt for four seconds.
		It("are not spent on a gate whose host became unreachable", func() {
			h := newHarness(3)
			h.setGates(func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				s.Started()
				time.Sleep(20 * time.Millisecond)
				return answer(http.StatusOK)(ctx, a, s)
			})
			for range 8 {
				Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
			}
			before := len(h.attempts())
			h.setFirstGate(func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
				host := h.attempts()[before].host
				time.AfterFunc(100*time.Millisecond, func() { h.chooser.Observe(host, choose.Observation{Kind: choose.Unreachable}) })
				return hang(hop.Unknown, false)(ctx, a, s)
			}, answer(http.StatusOK))
			started := time.Now()
			Expect(h.do("GET", "/browse/1", "").Code).To(Equal(http.StatusOK))
			Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
			Expect(h.attempts()[before:]).To(HaveLen(2))
		})
	})
})
