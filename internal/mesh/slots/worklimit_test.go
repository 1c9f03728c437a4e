package slots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

var _ = Describe("The limit of work", func() {
	const least = 5 * time.Second

	var (
		a    *slots.Admission
		now  clock.Time
		next slots.ID
	)
	BeforeEach(func() {
		a, now, next = slots.New(), clock.Time(time.Hour), 0
		a.Open(now, 4)
	})
	demand := func() slots.Demand {
		next++
		return slots.Demand{ID: next, Route: "book", Remaining: time.Minute, Forced: true}
	}
	run := func(work time.Duration, outcome slots.Outcome) {
		d := demand()
		Expect(a.Admit(now, d).Kind).To(Equal(slots.Run))
		now = now.Add(work)
		a.Done(now, d.ID, outcome)
	}
	learn := func(work time.Duration) {
		for range 8 {
			run(work, slots.Succeeded)
		}
	}

	It("is unknown without samples", func() {
		Expect(a.WorkLimit(demand(), least)).To(BeZero())
	})

	It("is the least time where work is short", func() {
		learn(time.Second)
		Expect(a.WorkLimit(demand(), least)).To(Equal(least))
	})

	It("is longer where work takes longer", func() {
		learn(4 * time.Second)
		Expect(a.WorkLimit(demand(), least)).To(BeNumerically(">=", 6*time.Second))
	})

	It("does not exist where a stop waits for nothing", func() {
		learn(time.Second)
		Expect(a.WorkLimit(demand(), 0)).To(BeZero())
	})

	It("doubles after timeouts in a row, until a success", func() {
		learn(time.Second)
		for range 8 {
			run(least, slots.TimedOut)
		}
		Expect(a.WorkLimit(demand(), least)).To(Equal(2 * least))
		run(time.Second, slots.Succeeded)
		Expect(a.WorkLimit(demand(), least)).To(Equal(least))
	})
})
