package slots_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
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

		// play lets repeats of an urgent and of the least urgent rank arrive at the given rates for a minute, and returns the
		// shares that are admitted. It checks the budget in each window.
		play := func(b *testBench, urgentPerSecond, leastPerSecond float64) (urgent, least float64) {
			b.SetRepeatBudget(b.now, slots.RepeatBudget{Allowance: 8, Window: 10 * time.Second})
			b.advance(time.Minute)
			random := rand.New(rand.NewPCG(5, 5))
			var asked, admitted [3]float64
			var runs []clock.Time
			for range 6000 {
				b.advance(10 * time.Millisecond)
				for r, rate := range [3]float64{urgentPerSecond, 0, leastPerSecond} {
					if random.Float64() >= rate/100 {
						continue
					}
					asked[r]++
					attempt, decision := b.arrive("lookup", repeated, idempotent, rank(r))
					if decision.Kind == slots.Run {
						admitted[r]++
						runs = append(runs, b.now)
						b.Done(b.now, attempt, slots.Cancelled)
					}
				}
			}
			for i, first := range runs {
				within := 0
				for _, run := range runs[i:] {
					if run.Sub(first) < 10*time.Second {
						within++
					}
				}
				Expect(within).To(BeNumerically("<=", 8))
			}
			return admitted[0] / max(asked[0], 1), admitted[2] / max(asked[2], 1)
		}

		// Guards against repeats of the least urgent rank that use up the budget when nested and urgent ones need it: without a
		// reserve, 0.14 of the urgent ones were admitted.
		It("keeps the budget for nested and urgent attempts as far as these have recently used it", func() {
			urgent, least := play(newTestBench(5), 0.3, 10)
			AddReportEntry("shares", fmt.Sprintf("urgent %.3f, least %.3f", urgent, least))
			Expect(urgent).To(BeNumerically(">=", 0.6))
		})

		// Guards against a reserve that nobody needs.
		It("gives the least urgent the whole budget when no others ask for it", func() {
			_, least := play(newTestBench(5), 0, 10)
			AddReportEntry("shares", fmt.Sprintf("least %.3f", least))
			Expect(least * 600).To(BeNumerically(">=", 22))
		})
	})
})
