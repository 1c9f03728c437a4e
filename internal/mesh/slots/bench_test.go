package slots_test

import (
	"strconv"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// BenchmarkAdmit measures a refused, a queued and abandoned, or a served attempt at a gate of ten slots in use by two ranks,
// with the given number of queued attempts.
func BenchmarkAdmit(b *testing.B) {
	for _, queued := range []int{0, 20, 200} {
		b.Run(strconv.Itoa(queued), func(b *testing.B) {
			gate := slots.New()
			now := clock.Time(time.Hour)
			gate.Open(now, 10)
			last := slots.ID(0)
			admit := func(rank int, wait time.Duration) (slots.ID, slots.Decision) {
				last++
				return last, gate.Admit(now, slots.Demand{
					ID: last, Route: id.RouteID(strconv.Itoa(rank)), Customer: id.CustomerID(strconv.Itoa(int(last) % 50)), Rank: rank,
					Remaining: time.Hour, Objective: time.Hour, MaxQueueWait: wait,
				})
			}
			for i := range 20 {
				attempt, _ := admit(i%2, 0)
				now = now.Add(time.Second)
				gate.Done(now, attempt, slots.Succeeded)
			}
			for range 10 + queued {
				admit(1, time.Hour)
			}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				attempt, decision := admit(i%2, time.Duration(i%2)*time.Hour)
				if decision.Kind == slots.Wait {
					gate.Abandon(attempt)
				}
			}
		})
	}
}
