package slots_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// coldLoad plays requests at a gate with ten slots in steps of a millisecond and serves its queue when the gate asks for it.
type coldLoad struct {
	*testBench
	random *rand.Rand
	// ends holds when the running attempts end; starts are all starts.
	ends   map[slots.ID]clock.Time
	starts []clock.Time
}

// begin records a start with work of about 100 ms.
func (l *coldLoad) begin(attempt slots.ID) {
	l.starts = append(l.starts, l.now)
	l.ends[attempt] = l.now.Add(time.Duration(50+l.random.IntN(100)) * time.Millisecond)
}

// take takes over turns.
func (l *coldLoad) take(turns []slots.Turn) {
	for _, turn := range turns {
		if turn.Run {
			l.begin(turn.ID)
		}
	}
}

// play offers requests at a rate for some time.
func (l *coldLoad) play(perSecond float64, length time.Duration) {
	for end := l.now.Add(length); l.now.Before(end); l.advance(time.Millisecond) {
		for attempt, at := range l.ends {
			if !l.now.Before(at) {
				delete(l.ends, attempt)
				l.take(l.Done(l.now, attempt, slots.Succeeded))
			}
		}
		// The gate's timer: nothing else wakes the queue of a target without running attempts.
		if _, waits := l.NextStart(l.now); !waits {
			l.take(l.Serve(l.now))
		}
		if l.random.Float64() < perSecond/1000 {
			attempt, decision := l.arrive("lookup", func(d *slots.Demand) {
				d.Nested, d.MaxQueueWait = l.random.IntN(4) == 0, time.Duration(l.random.IntN(2000))*time.Millisecond
			})
			if decision.Kind == slots.Run {
				l.begin(attempt)
			}
		}
	}
}

// mostPerSecond returns the largest number of starts in any second that ends between two times.
func (l *coldLoad) mostPerSecond(from, to clock.Time) int {
	most := 0
	for last, at := range l.starts {
		if at < from || at > to {
			continue
		}
		n := 0
		for i := last; i >= 0 && at.Sub(l.starts[i]) < time.Second; i-- {
			n++
		}
		most = max(most, n)
	}
	return most
}

var _ = Describe("A cold target", func() {
	newLoad := func(perSecond float64) *coldLoad {
		l := &coldLoad{testBench: newTestBench(10), random: rand.New(rand.NewPCG(1, 2)), ends: map[slots.ID]clock.Time{}}
		l.SetWarmUpRate(perSecond)
		return l
	}

	// Guards against a target that crashes because it gets more than it can handle while it is cold, and against one that gets
	// far less. It becomes cold in the middle of the load, so that the starts right before count, too.
	DescribeTable("gets at most its rate in any second",
		func(perSecond float64) {
			l := newLoad(perSecond)
			l.play(60, 5*time.Second)
			warm := len(l.starts)
			began := l.now
			l.SetCold(began.Add(20 * time.Second))
			l.play(60, 20*time.Second)
			cold := len(l.starts) - warm
			Expect(l.mostPerSecond(began, began.Add(20*time.Second-time.Millisecond))).To(BeNumerically("<=", max(int(perSecond), 1)))
			Expect(cold).To(BeNumerically(">=", int(19*0.9*math.Floor(perSecond))))
			l.play(60, 5*time.Second)
			Expect(len(l.starts)-warm-cold).To(BeNumerically(">", 4*50), "starts after the warm-up")
		},
		Entry(nil, 9.0), Entry(nil, 2.5), Entry(nil, 1.0), Entry(nil, 0.5), Entry(nil, 40.0),
	)

	// Guards against entries that keep sending as much as to a warm target, and queue at its gate in vain.
	It("reports as many slots as its rate keeps busy", func() {
		l := newLoad(9)
		Expect(l.ReportedSlots(l.now)).To(Equal(10))
		l.SetCold(l.now.Add(time.Minute))
		// All work takes 300 ms in the mean of the bench's samples.
		Expect(l.ReportedSlots(l.now)).To(BeNumerically("~", 3, 1))
		Expect(l.Cold(l.now)).To(BeTrue())
		l.SetCold(l.now)
		Expect(l.ReportedSlots(l.now)).To(Equal(10))
		l.SetWarmUpRate(0)
		l.SetCold(l.now.Add(time.Minute))
		Expect(l.Cold(l.now)).To(BeFalse())
	})

	// Guards against an attempt that waits in vain because the gate takes a free slot of a cold target for a free start.
	It("refuses at once what would wait too long for its start", func() {
		l := newLoad(2)
		l.SetCold(l.now.Add(time.Minute))
		l.fill(2, "lookup")
		wait := func(d time.Duration) func(*slots.Demand) {
			return func(demand *slots.Demand) { demand.MaxQueueWait = d }
		}
		_, decision := l.arrive("lookup", wait(900*time.Millisecond))
		Expect(decision.Kind).To(Equal(slots.Refuse))
		Expect(decision.Reason).To(Equal(slots.Full))
		Expect(decision.RetryAfter).To(Equal(time.Second))
		_, decision = l.arrive("lookup", wait(1100*time.Millisecond))
		Expect(decision.Kind).To(Equal(slots.Wait))
		_, decision = l.arrive("lookup", wait(1100*time.Millisecond))
		Expect(decision.Kind).To(Equal(slots.Refuse))
		due, waits := l.NextStart(l.now)
		Expect(waits).To(BeTrue())
		Expect(due).To(Equal(l.now.Add(time.Second)))
		l.advance(time.Second)
		Expect(l.Serve(l.now)).To(HaveLen(1))
	})
})
