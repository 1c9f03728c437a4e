package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
)

// Run serves until ctx ends, then drains. It returns nil after a complete drain.
func (d *Daemon) Run(ctx context.Context) error {
	// Background work continues during the drain, so that peers learn of it by gossip.
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, running := errgroup.WithContext(background)
	d.account = memaccount.Plan(int64(d.settings.Limits.MemoryMB)<<20, d.settings.Limits.MaxFiles)
	servers := d.servers()
	for _, s := range servers {
		group.Go(func() error { return s.serve() })
	}
	if d.identity != nil {
		group.Go(func() error { return d.identity.Run(running, tlsReloadPeriod) })
	}
	group.Go(func() error { return d.gate.Run(running) })
	group.Go(func() error { return d.syncer.Run(running) })
	group.Go(func() error { return d.upkeep(running) })
	group.Go(func() error { return d.sample(running) })
	group.Go(func() error { return d.register(running) })
	group.Go(func() error { return d.owners.run(running) })
	group.Go(func() error { return d.flusher.Run(running) })
	group.Go(func() error { d.permits.Run(running); return nil })
	group.Go(func() error { d.ownKeys.Run(running); return nil })
	group.Go(func() error { return d.reclaimRecords(running) })
	group.Go(func() error { d.gossip.Run(running); return nil })
	d.log.Info().Str("callers", d.listeners.caller.Addr().String()).Msg("daemon: serving")

	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	err := d.drain()
	for _, s := range servers {
		s.close()
	}
	stop()
	return errors.Join(err, group.Wait())
}

// drain finishes the requests in flight within the drain timeout and hands the records over.
func (d *Daemon) drain() error {
	d.state.draining.Store(true)
	d.log.Info().Msg("daemon: draining")
	time.Sleep(d.settings.Timeouts.DrainGrace)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Timeouts.Drain)
	defer cancel()
	err := fault.New("drain entry", "", d.entry.Shutdown(ctx))
	err = errors.Join(err, fault.New("drain gate", "", d.gate.Shutdown(ctx)))
	d.handOver(ctx)
	d.log.Info().Err(err).Msg("daemon: drained")
	return err
}

// server is one HTTP server on its listener.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// serve runs until close.
func (s *server) serve() error {
	err := s.listen()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.New("serve "+s.name, s.listener.Addr().String(), err)
}

// listen accepts connections, with TLS when it is configured.
func (s *server) listen() error {
	if s.http.TLSConfig == nil {
		return s.http.Serve(s.listener)
	}
	return s.http.ServeTLS(s.listener, "", "")
}

// close closes the listener and gives running requests one second to end.
func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
