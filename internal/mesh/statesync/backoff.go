package statesync

import (
	"math/rand/v2"
	"time"
)

// backoff is the pause between attempts that fail. It doubles from initialBackoff up to longest.
type backoff struct {
	longest time.Duration
	pause   time.Duration
}

// next returns the next pause. The jitter of half of it keeps the daemons from returning to a recovered store all at once.
func (b *backoff) next() time.Duration {
	pause := max(b.pause, initialBackoff)
	b.pause = min(2*pause, b.longest)
	return pause/2 + rand.N(pause/2)
}

// reset starts over after a success.
func (b *backoff) reset() {
	b.pause = 0
}
