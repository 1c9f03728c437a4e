package gate_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

var _ = Describe("Gate with reserved slots", func() {
	// Guards against an attempt that stays in the queue beside a free slot until another attempt arrives or ends, although the
	// slot is no longer reserved.
	It("starts a queued attempt once the demand for the reserved slot has ceased", func() {
		ctx := context.Background()
		release := make(chan struct{})
		defer close(release)
		h := newHarness(respondAfter(release))
		for range 16 {
			urgent, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
			h.sendRemote(urgent, attempt("", idempotent, func(a *link.Attempt) { a.Route, a.Rank, a.Objective = "urgent", 0, 0 }))
			cancel()
			Eventually(h.gate.Idle).Should(BeTrue())
		}
		send := func() *signals {
			received := &signals{}
			long := attempt("", idempotent, func(a *link.Attempt) { a.Remaining, a.MaxQueueWait = time.Minute, 30*time.Second })
			go func() {
				result := h.gate.Do(ctx, long, received)
				result.Close()
			}()
			return received
		}
		first := send()
		Eventually(first.names).Should(ContainElement("started"))
		second := send()
		Eventually(second.names).Should(ContainElement("queued"))
		Consistently(second.names, 150*time.Millisecond).ShouldNot(ContainElement("started"))
		h.clock.Leap(8 * time.Second)
		Eventually(second.names).Should(ContainElement("started"))
	})
})
