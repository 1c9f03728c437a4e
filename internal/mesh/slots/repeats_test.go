package slots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

var _ = Describe("Admission", func() {
	Context("repeats", func() {
		// Guards against exceeding the fleet's budget of repeats, of which each gate holds a part.
		It("admits at most the allowance in a window", func() {
			b := newTestBench(5)
			b.SetRepeatBudget(b.now, slots.RepeatBudget{Allowance: 8, Window: 10 * time.Second})
			b.advance(time.Minute)
			admitted := 0
			for range 100 {
				attempt, decision := b.arrive("lookup", repeated, idempotent)
				if decision.Kind == slots.Run {
					admitted++
					b.Done(b.now, attempt, slots.Succeeded)
				} else {
					Expect(decision.Reason).To(Equal(slots.RepeatsUsedUp))
				}
				b.advance(100 * time.Millisecond)
			}
			Expect(admitted).To(BeNumerically("<=", 8))
			Expect(admitted).To(BeNumerically(">=", 6))
		})

		// Guards against a repeat that is refused for the budget and keeps the target's next trial for itself, so that a
		// target that is well again is found out later.
		It("spends no trial of a suspected target on a repeat beyond the budget", func() {
			b := newTestBench(5)
			b.SetRepeatBudget(b.now, slots.RepeatBudget{Allowance: 2, Window: 1000 * time.Hour})
			_, first := b.arrive("lookup", repeated, idempotent)
			Expect(first.Kind).To(Equal(slots.Run))
			for range 3 {
				b.work("book", 50*time.Millisecond, slots.Broken)
			}
			b.advance(500 * time.Millisecond)
			_, beyond := b.arrive("lookup", repeated, idempotent)
			Expect(beyond.Reason).To(Equal(slots.RepeatsUsedUp))
			_, trial := b.arrive("lookup", idempotent)
			Expect(trial.Kind).To(Equal(slots.Run))
		})

		// Guards against a budget that is used up by repeats that never reached the target.
		It("charges queued repeats only when they run", func() {
			b := newTestBench(1)
			b.SetRepeatBudget(b.now, slots.RepeatBudget{Allowance: 2, Window: 1000 * time.Hour})
			running := b.fill(1, "book")
			for range 3 {
				waiting, decision := b.arrive("lookup", repeated, idempotent, patient)
				Expect(decision.Kind).To(Equal(slots.Wait))
				Expect(b.Abandon(waiting)).To(BeTrue())
			}
			waiting, _ := b.arrive("lookup", repeated, idempotent, patient)
			beyond, _ := b.arrive("lookup", repeated, idempotent, patient)
			b.advance(100 * time.Millisecond)
			Expect(b.Done(b.now, running[0], slots.Succeeded)).To(Equal([]slots.Turn{{ID: waiting, Run: true}}))
			Expect(b.Done(b.now, waiting, slots.Succeeded)).To(Equal([]slots.Turn{{ID: beyond, Reason: slots.RepeatsUsedUp}}))
		})

		It("credits repeats for first attempts of customers", func() {
			b := newTestBench(5)
			b.SetRepeatBudget(b.now, slots.RepeatBudget{Ratio: 0.5, Allowance: 0, Window: 10 * time.Second})
			for range 4 {
				_, decision := b.arrive("lookup", repeated, idempotent)
				if decision.Kind == slots.Run {
					b.Done(b.now, b.last, slots.Succeeded)
				}
			}
			_, decision := b.arrive("lookup", repeated, idempotent)
			Expect(decision.Reason).To(Equal(slots.RepeatsUsedUp))
			for range 2 {
				b.work("lookup", 100*time.Millisecond, slots.Succeeded)
			}
			_, decision = b.arrive("lookup", repeated, idempotent)
			Expect(decision.Kind).To(Equal(slots.Run))
		})
	})
})
