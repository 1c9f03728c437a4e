package gate_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

var _ = Describe("A cold target at its gate", func() {
	ctx := context.Background()
	patient := func(a *link.Attempt) { a.MaxQueueWait = 1500 * time.Millisecond }
	// announce announces the target with its remaining warm-up time.
	announce := func(h *harness, sequence uint64, left time.Duration) {
		GinkgoHelper()
		a := h.announcement(roster.Serving, 1, sequence)
		a.WarmUp = left
		Expect(h.gate.Announce(a)).To(Succeed())
	}

	// Guards against a queue that nothing wakes: the target has no running attempt whose end would do so.
	It("gets a queued attempt when the next start is due", func() {
		h := newHarness(respond)
		h.gate.SetWarmUp(policy.WarmUp{Time: time.Minute, PerSecond: 1})
		announce(h, 2, time.Minute)
		began := time.Now()
		for range 2 {
			result, _ := h.sendRemote(ctx, attempt("", patient))
			Expect(result.Verdict).To(Equal(hop.Ran))
			Expect(result.Load.Slots).To(Equal(1))
		}
		Expect(time.Since(began)).To(BeNumerically(">=", 990*time.Millisecond))
		Expect(h.gate.Cold()).To(BeTrue())
		result, _ := h.sendRemote(ctx, attempt(""))
		Expect(result.Reason).To(Equal(link.Reason(slots.Full)))
		// An announcement ends the warm-up at once, and another one begins it under the same id.
		announce(h, 3, 0)
		result, _ = h.sendRemote(ctx, attempt(""))
		Expect(result.Verdict).To(Equal(hop.Ran))
		announce(h, 4, time.Minute)
		result, _ = h.sendRemote(ctx, attempt(""))
		Expect(result.Verdict).To(Equal(hop.NotRun))
	})

	// Guards against a target that has become cold during the evacuation, and crashes before its next announcement.
	It("is taken to be cold after an evacuation until it announces itself", func() {
		h := newHarness(respond)
		h.gate.SetWarmUp(policy.WarmUp{Time: time.Minute, PerSecond: 1})
		Expect(h.gate.Cold()).To(BeFalse())
		h.gate.SetEvacuation(true)
		h.gate.SetEvacuation(false)
		Expect(h.gate.Cold()).To(BeTrue())
		announce(h, 2, 0)
		Expect(h.gate.Cold()).To(BeFalse())
	})
})
