package slots_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// Guards against a target without work for as long as its host stops, and against work that the stop breaks off.
var _ = Describe("A planned stop of the host", func() {
	const (
		callsTime = 2600 * time.Millisecond
		stopTime  = 5650 * time.Millisecond
	)

	nested := func(d *slots.Demand) { d.Nested, d.Customer, d.Idempotent = true, "", true }

	// play lets an attempt that takes 500 ms arrive every 50 ms until the stop ends. It returns when the last one ended
	// and how long the target is without a new one.
	play := func(b *testBench, edit ...func(*slots.Demand)) (lastEnd clock.Time, idle time.Duration) {
		ends := map[slots.ID]clock.Time{}
		begin := b.now
		lastStart := begin
		b.StopBy(begin.Add(callsTime), begin.Add(stopTime))
		for b.now.Sub(begin) < stopTime {
			for attempt, end := range ends {
				if !b.now.Before(end) {
					b.Done(b.now, attempt, slots.Succeeded)
					delete(ends, attempt)
				}
			}
			if attempt, decision := b.arrive("book", edit...); decision.Kind == slots.Run {
				lastStart, lastEnd = b.now, b.now.Add(500*time.Millisecond)
				ends[attempt] = lastEnd
			}
			b.advance(50 * time.Millisecond)
		}
		return lastEnd, begin.Add(stopTime).Sub(lastStart)
	}

	It("leaves the target without calls of others for less than two seconds, and ends none", func() {
		b := newTestBench(15)
		begin := b.now
		lastEnd, idle := play(b, nested)
		Expect(idle).To(BeNumerically("<", 2*time.Second))
		Expect(lastEnd.Sub(begin)).To(BeNumerically("<=", stopTime))
	})

	// Guards against work that fails because its target can make no calls any more, as more than half of the callers' attempts did
	// that began 2 s after the signal (zfb-mesh-grown, overlapping-stops).
	It("ends the work of callers before the target can make no more calls", func() {
		b := newTestBench(15)
		begin := b.now
		lastEnd, _ := play(b)
		Expect(lastEnd.Sub(begin)).To(BeNumerically(">", 500*time.Millisecond))
		Expect(lastEnd.Sub(begin)).To(BeNumerically("<=", callsTime))
	})

	It("refuses what may outlast it, and goes on with shorter work", func() {
		b := newTestBench(2)
		end := b.now.Add(400 * time.Millisecond)
		b.StopBy(end, end)
		_, long := b.arrive("book")
		Expect(long.Kind).To(Equal(slots.Refuse))
		Expect(long.Reason).To(Equal(slots.Stopping))
		_, short := b.arrive("lookup")
		Expect(short.Kind).To(Equal(slots.Run))
	})

	It("refuses queued work whose turn comes too late", func() {
		b := newTestBench(1)
		first, _ := b.arrive("book")
		queued, decision := b.arrive("book", func(d *slots.Demand) { d.MaxQueueWait = 5 * time.Second })
		Expect(decision.Kind).To(Equal(slots.Wait))
		b.StopBy(b.now.Add(time.Second), b.now.Add(time.Second))
		b.advance(900 * time.Millisecond)
		Expect(b.Done(b.now, first, slots.Succeeded)).To(Equal([]slots.Turn{{ID: queued, Reason: slots.Stopping}}))
	})
})
