package capacity

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

const (
	// The intervals of a daemon, see packages daemon and settings.
	memberTimeout   = 2 * time.Second
	memberPoll      = 2 * time.Second
	memberBackoff   = 8 * time.Second
	memberRegisters = 2 * time.Second
)

// member is the part of one daemon that calls the platform: the catalogue's
// syncer, the reading of registrations and the own registration.
type member struct {
	number      int
	clock       clock.Clock
	incarnation atomic.Uint64
	address     string

	mu         sync.Mutex
	syncer     *catalogsync.Syncer
	registered bool
	ownersAt   clock.Time
	stop       context.CancelFunc
	wait       *sync.WaitGroup
}

// start starts the member as a new process.
func (m *member) start(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePeerConnections}, Timeout: memberTimeout}
	calls := platform.NewClient(m.address, client)
	incarnation := m.incarnation.Add(1)
	syncer := catalogsync.New(cataloguestore.New(calls.Table(), calls.Objects()), catalogsync.Config{
		Clock:        m.clock,
		Logger:       zerolog.Nop(),
		Seed:         uint64(m.number)<<16 | incarnation,
		PollInterval: memberPoll,
		CallTimeout:  memberTimeout,
	})
	registrar := registration.New(calls.Table())
	owner := registration.Owner{
		Host:          hostName(m.number),
		FailureDomain: domainName(m.number),
		Incarnation:   id.Incarnation(incarnation),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncer, m.registered, m.ownersAt = syncer, false, 0
	m.stop, m.wait = stop, new(sync.WaitGroup)
	m.wait.Go(func() { _ = syncer.Run(ctx) })
	m.wait.Go(func() { m.register(ctx, registrar, owner) })
	m.wait.Go(func() { m.watch(ctx, registrar) })
	context.AfterFunc(ctx, client.CloseIdleConnections)
}

// end ends the process and waits for its calls.
func (m *member) end() {
	m.mu.Lock()
	stop, wait := m.stop, m.wait
	m.mu.Unlock()
	stop()
	wait.Wait()
}

// register registers as daemon.Daemon does.
func (m *member) register(ctx context.Context, registrar *registration.Registrar, owner registration.Owner) {
	for {
		if _, err := registrar.Register(ctx, owner); err == nil {
			m.mu.Lock()
			m.registered = true
			m.mu.Unlock()
			return
		}
		if pause(ctx, memberRegisters) != nil {
			return
		}
	}
}

// watch reads the registrations as daemon.Daemon does.
func (m *member) watch(ctx context.Context, registrar *registration.Registrar) {
	since := platform.Revision(0)
	wait := memberPoll
	for {
		began := m.clock.Now()
		_, through, err := registrar.Changes(ctx, since)
		if err != nil {
			wait = min(2*wait, memberBackoff)
		} else {
			since, wait = through, memberPoll
			m.mu.Lock()
			m.ownersAt = began
			m.mu.Unlock()
		}
		if pause(ctx, wait*3/4+rand.N(wait/2+1)) != nil {
			return
		}
	}
}

// settledSince reports whether the member is registered and has read everything since the time.
func (m *member) settledSince(t clock.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	status := m.syncer.Status()
	return m.registered && m.ownersAt > t && status.Confirmed && status.ConfirmedAt > t
}
