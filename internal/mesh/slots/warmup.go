package slots

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// maxTrackedStarts bounds the starts that are remembered. A target that handles more a second while it is cold is bounded by
// maxTrackedStarts in a proportionally shorter window.
const maxTrackedStarts = 4096

// warmUp bounds the starts at a cold target: no window of its length has more starts than it remembers. Starts at a warm target
// are remembered, too, because the target may become cold again right after them.
type warmUp struct {
	perSecond float64
	// starts are the latest start times in a ring, of which next is the oldest. Its length is the number of starts in a window.
	starts []clock.Time
	next   int
	window time.Duration
	// until is when the target stops being cold, unless an announcement says otherwise.
	until clock.Time
}

// setRate sets how many starts a second a cold target can handle; zero or less for any number. The window is a second, in which a
// fraction of a start counts as none, or that of one start for a lower rate.
func (w *warmUp) setRate(perSecond float64) {
	if perSecond == w.perSecond {
		return
	}
	w.perSecond = perSecond
	if perSecond <= 0 {
		w.starts, w.next = nil, 0
		return
	}
	known := w.latest()
	n := int(min(max(math.Floor(perSecond), 1), maxTrackedStarts))
	w.window = time.Second
	if perSecond < 1 || perSecond > maxTrackedStarts {
		w.window = time.Duration(math.Ceil(float64(n) / perSecond * float64(time.Second)))
	}
	w.starts, w.next = make([]clock.Time, n), 0
	for i := range w.starts {
		// An empty place counts as a start that is long past.
		w.starts[i] = clock.Time(math.MinInt64 / 2)
	}
	for _, at := range known[max(len(known)-n, 0):] {
		w.started(at)
	}
}

// latest returns the remembered starts in order.
func (w *warmUp) latest() []clock.Time {
	return append(append([]clock.Time(nil), w.starts[w.next:]...), w.starts[:w.next]...)
}

// started records a start.
func (w *warmUp) started(now clock.Time) {
	if len(w.starts) == 0 {
		return
	}
	w.starts[w.next] = now
	w.next = (w.next + 1) % len(w.starts)
}

// limits reports whether the starts are bounded: the target is cold and its service has a rate.
func (w *warmUp) limits(now clock.Time) bool {
	return len(w.starts) > 0 && now.Before(w.until)
}

// due returns when the next start is permitted, at the earliest now.
func (w *warmUp) due(now clock.Time) clock.Time {
	if !w.limits(now) {
		return now
	}
	return max(now, min(w.starts[w.next].Add(w.window), w.until))
}

// SetWarmUpRate sets how many starts a second the target can handle while it is cold; zero for any number.
func (a *Admission) SetWarmUpRate(perSecond float64) {
	a.warmUp.setRate(perSecond)
}

// SetCold sets until when the target is cold; now or earlier for a warm one.
func (a *Admission) SetCold(until clock.Time) {
	a.warmUp.until = until
}

// Cold reports whether the starts are bounded because the target is cold.
func (a *Admission) Cold(now clock.Time) bool {
	return a.warmUp.limits(now)
}

// NextStart returns when Serve is to be called although no slot becomes free: the time at which the bound for a cold target
// permits the next start of a queued attempt. It returns false if no attempt waits for that.
func (a *Admission) NextStart(now clock.Time) (clock.Time, bool) {
	if !a.open || len(a.queue) == 0 || len(a.running) >= a.slots || !a.warmUp.limits(now) {
		return 0, false
	}
	due := a.warmUp.due(now)
	return due, now.Before(due)
}

// Serve serves the queue.
func (a *Admission) Serve(now clock.Time) []Turn {
	return a.serveQueue(now)
}

// coldWait estimates the time until the bound for a cold target permits the start of an attempt that comes behind others.
func (a *Admission) coldWait(now clock.Time, ahead int) time.Duration {
	if !a.warmUp.limits(now) {
		return 0
	}
	wait := a.warmUp.due(now).Sub(now) + time.Duration(float64(ahead)/a.warmUp.perSecond*float64(time.Second))
	return min(wait, a.warmUp.until.Sub(now))
}

// ReportedSlots returns the number of slots that entries are told. For a cold target it is the number that its rate and the usual
// work keep busy.
func (a *Admission) ReportedSlots(now clock.Time) int {
	if !a.warmUp.limits(now) {
		return a.slots
	}
	usual := defaultWorkTime
	if a.all.Known() {
		usual = a.all.Mean()
	}
	busy := math.Ceil(a.warmUp.perSecond * usual.Seconds())
	return int(min(max(busy, 1), float64(a.slots)))
}
