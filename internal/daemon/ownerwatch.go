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

// maxOwnerBackoff is the longest pause between two reads while reads fail, before jitter. It is
// below the 10 s after which a duty that was not confirmed expires.
const maxOwnerBackoff = 8 * time.Second

// ownerWatch polls the platform for the registrations of all host slots. A platform read confirms
// duties only if it also shows every higher epoch, that is, together with a read of the
// registrations.
type ownerWatch struct {
	registrar *registration.Registrar
	clock     clock.Clock
	log       zerolog.Logger
	interval  time.Duration
	// onChange is called with the registrations that changed.
	onChange func([]registration.Owner)

	mu        sync.Mutex
	confirmed bool
	readAt    clock.Time
}

// confirmedAt returns the time at which the last successful read began, and false before the
// first one.
func (o *ownerWatch) confirmedAt() (clock.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readAt, o.confirmed
}

// run polls until ctx ends.
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
			o.recordRead(owners, startedAt)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(jittered(pause)):
		}
	}
}

// recordRead passes on the changed registrations of a successful read and records the time at
// which it began.
func (o *ownerWatch) recordRead(owners []registration.Owner, startedAt clock.Time) {
	if len(owners) > 0 {
		o.onChange(owners)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmed, o.readAt = true, startedAt
}

// jittered returns 75% to 125% of a pause at random, so that daemons do not call the platform in
// lockstep.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
