package entry_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

var _ = Describe("A host that is silent for a while", func() {
	// silentAfterStart runs an attempt and says nothing between its start and its answer, while other attempts at its host
	// fail to reach it.
	silentAfterStart := func(h *harness, quiet time.Duration) gateFunc {
		return func(ctx context.Context, a *link.Attempt, s link.Signals) *link.Result {
			s.Queued()
			s.Started()
			host := h.attempts()[len(h.attempts())-1].host
			for range 5 {
				time.Sleep(quiet / 5)
				h.chooser.Observe(host, choose.Observation{Kind: choose.Unreachable})
			}
			if ctx.Err() != nil {
				return &link.Result{Reason: link.Ended, Err: context.Cause(ctx)}
			}
			return answer(http.StatusOK)(ctx, a, s)
		}
	}

	// Guards against running work that is given up, or started again elsewhere, because its host does not report.
	It("keeps a booking that it runs", func() {
		h := newHarness(3)
		h.setGates(answer(http.StatusOK))
		for range 8 {
			Expect(h.do("POST", "/book/1", "seats").Code).To(Equal(http.StatusOK))
		}
		before := len(h.attempts())
		h.setGates(silentAfterStart(h, 1500*time.Millisecond))
		Expect(h.do("POST", "/book/2", "seats").Code).To(Equal(http.StatusOK))
		Expect(h.attempts()[before:]).To(HaveLen(1))
	})
})
