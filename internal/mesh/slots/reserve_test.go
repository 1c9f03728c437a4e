package slots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

var _ = Describe("Admission with reserved slots", func() {
	urgent := func(d *slots.Demand) { d.Rank, d.Objective = 0, 200*time.Millisecond }
	// reserving returns a gate of five slots with recent demand of urgent lookups, which can wait for 0.1 s.
	reserving := func() *testBench {
		b := newTestBench(5)
		for range 80 {
			attempt, _ := b.arrive("lookup", urgent)
			b.advance(100 * time.Millisecond)
			b.Done(b.now, attempt, slots.Succeeded)
		}
		return b
	}

	// Guards against a queue that waits for an event although its first attempt may use a slot: a reservation ends when
	// running work nears its end or demand ceases, without any event.
	It("starts a queued attempt once the slot is no longer reserved", func() {
		b := reserving()
		b.fill(4, "book")
		waiting, decision := b.arrive("book", patient)
		Expect(decision.Kind).To(Equal(slots.Wait))
		Expect(decision.Reserved).To(Equal(1))
		_, due := b.RecheckAfter()
		Expect(due).To(BeTrue())
		Expect(b.Recheck(b.now)).To(BeEmpty())
		b.advance(450 * time.Millisecond)
		Expect(b.Recheck(b.now)).To(Equal([]slots.Turn{{ID: waiting, Run: true}}))
		_, due = b.RecheckAfter()
		Expect(due).To(BeFalse())
	})

	// Guards against short work that waits behind long work although it would not be in the way of urgent attempts.
	It("lets work pass that ends within the patience of urgent attempts", func() {
		b := reserving()
		b.fill(4, "book")
		long, _ := b.arrive("book", patient)
		_, short := b.arrive("lookup", func(d *slots.Demand) { d.Rank = 2 })
		Expect(short.Kind).To(Equal(slots.Run))
		Expect(b.Abandon(long)).To(BeTrue())
	})

	// Guards against refusing an attempt that would get a reserved slot in time, and against queueing one that would not.
	It("expects an attempt to wait until enough running work nears its end", func() {
		b := reserving()
		b.fill(4, "book")
		_, decision := b.arrive("book")
		Expect(decision.Reason).To(Equal(slots.Full))
		Expect(decision.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
		Expect(decision.RetryAfter).To(BeNumerically("<", 500*time.Millisecond))
	})
})
