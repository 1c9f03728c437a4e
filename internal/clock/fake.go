package clock

import (
	"sync"
	"time"
)

// Fake is a clock that is advanced manually. The zero value reads zero.
type Fake struct {
	mu  sync.Mutex
	now Time
}

// Now implements Clock.
func (f *Fake) Now() Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d; a negative d is ignored.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d > 0 {
		f.now = f.now.Add(d)
	}
}
