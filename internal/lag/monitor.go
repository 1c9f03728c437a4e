package lag

import (
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// Period is the period at which Tick must be called. What is noticed late by less than that may not be seen as late.
	Period = 200 * time.Millisecond
	// tolerance is the lag that a tick may have on a host that is not short of processor time. Schedulers with a quota stop a
	// process for up to their period of 100 ms.
	tolerance = 150 * time.Millisecond
	// steps is how many threads and goroutines a stop signal wakes one after the other: the thread that handles it, the runtime's
	// receiver, the one that ends the context, and the daemon. Each waits for its turn about as long as a tick at that time.
	steps = 4
)

// Monitor measures the lag of the process. It is safe for concurrent use.
type Monitor struct {
	clock clock.Clock

	mu sync.Mutex
	// due is when the next tick is due.
	due clock.Time
	// late holds the lags of the latest ticks since the last one in time, the newest last, at most steps of them.
	late []time.Duration
}

// New returns a monitor. The first tick is due at once.
func New(c clock.Clock) *Monitor {
	return &Monitor{clock: c, due: c.Now()}
}

// Tick shows that the process runs. It returns when it must be called again.
func (m *Monitor) Tick() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.late = m.with(now.Sub(m.due))
	m.due = now.Add(Period)
	return Period
}

// Delay returns how long ago a signal may have been sent that is noticed now: zero if the process got its turns in time.
func (m *Monitor) Delay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	lags := m.late
	if overdue := m.clock.Now().Sub(m.due); overdue > tolerance {
		lags = m.with(overdue)
	}
	var sum time.Duration
	for _, lag := range lags {
		sum += lag
	}
	return sum
}

// with returns the latest lags with one more tick, none if that was in time. The caller must hold m.mu.
func (m *Monitor) with(lag time.Duration) []time.Duration {
	if lag <= tolerance {
		return nil
	}
	from := max(0, len(m.late)+1-steps)
	return append(append([]time.Duration(nil), m.late[from:]...), lag)
}
