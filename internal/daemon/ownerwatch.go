package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

// maxOwnerBackoff is the longest pause between two reads while reads fail. It
// stays below the 10 s after which a duty lapses.
const maxOwnerBackoff = 8 * time.Second

// ownerWatch reads the registrations of all host slots from the platform. A
// platform read confirms a duty only if it also shows every higher epoch.
type ownerWatch struct {
	registrar *registration.Registrar
	clock     clock.Clock
	log       zerolog.Logger
	interval  time.Duration
	// learn is called with registrations that changed.
	learn func([]registration.Owner)

	mu        sync.Mutex
	confirmed bool
	at        clock.Time
}

// confirmedAt returns the reading of the clock before the last successful read began.
func (o *ownerWatch) confirmedAt() (clock.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.at, o.confirmed
}

// run reads until ctx ends.
func (o *ownerWatch) run(ctx context.Context) error {
	since := platform.Revision(0)
	pause := o.interval
	for {
		startedAt := o.clock.Now()
		owners, through, err := o.registrar.Changes(ctx, since)
		if err != nil {
			o.log.Warn().Err(err).Msg("registration: read failed")
			pause = min(2*pause, maxOwnerBackoff)
		} else {
			since, pause = through, o.interval
			o.took(owners, startedAt)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered(pause)):
		}
	}
}

// took takes over one successful read.
func (o *ownerWatch) took(owners []registration.Owner, startedAt clock.Time) {
	if len(owners) > 0 {
		o.learn(owners)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmed, o.at = true, startedAt
}

// jittered spreads a pause over 75% to 125%, so that daemons do not read in step.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
