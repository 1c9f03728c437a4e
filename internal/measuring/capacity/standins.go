package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	emulator "buckthornlatch.example/buckthornlatch/internal/emulator/platform"
	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

// StandinsConfig describes a simulated fleet around one measured daemon.
type StandinsConfig struct {
	Size Size `json:"size"`
	// ChangeInterval is the time between catalogue changes; zero for none.
	ChangeInterval time.Duration `json:"change_interval_ns"`
	// RestartInterval is the time between restarts of simulated hosts; zero for none.
	RestartInterval time.Duration `json:"restart_interval_ns"`
	// SummaryInterval is the time between two changes of one target's published summary.
	SummaryInterval time.Duration `json:"summary_interval_ns"`
	GossipInterval  time.Duration `json:"gossip_interval_ns"`
}

// Standins is everything around the measured daemon, which is the host after the last simulated one.
type Standins struct {
	config    StandinsConfig
	clock     clock.Clock
	operator  *operator
	registrar *registration.Registrar
	platform  *emulator.Server
	listener  net.Listener
	peers     []*peer
	handlers  map[string]http.Handler
	// platformBytes and peerBytes count the connections with the measured daemon.
	platformBytes, peerBytes counter
}

// NewStandins fills the catalogue and opens the simulated hosts' addresses.
func NewStandins(ctx context.Context, config StandinsConfig) (*Standins, error) {
	memory := platform.NewMemory()
	w := &Standins{
		config:    config,
		clock:     clock.NewSystem(),
		operator:  newOperator(cataloguestore.New(memory.Table(), memory.Objects())),
		registrar: registration.New(memory.Table()),
		platform:  emulator.New(memory, 1),
		handlers:  make(map[string]http.Handler),
	}
	if err := w.operator.fill(ctx, entries(config.Size)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.New("listen for platform", "", err)
	}
	w.listener = &countedListener{Listener: listener, counter: &w.platformBytes}
	for number := range config.Size.Hosts - 1 {
		p, err := newPeer(number, config.Size)
		if err != nil {
			return nil, err
		}
		if p.owner, err = w.registrar.Register(ctx, p.owner); err != nil {
			return nil, err
		}
		w.peers = append(w.peers, p)
	}
	for _, p := range w.peers {
		p.start(w, w.transport())
	}
	return w, nil
}

// transport returns the transport of one simulated host's calls to the measured daemon.
func (w *Standins) transport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: idlePeerConnections,
		IdleConnTimeout:     idlePeerTimeout,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			var dialer net.Dialer
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return w.peerBytes.wrap(conn), nil
		},
	}
}

// Run serves until ctx ends; the control listener tells the measuring process about the fleet.
func (w *Standins) Run(ctx context.Context, control net.Listener) error {
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error { return w.platform.Serve(running, w.listener) })
	for _, p := range w.peers {
		server := &http.Server{Handler: p.gossip.Handler(), ReadHeaderTimeout: time.Second}
		listener := &countedListener{Listener: p.listener, counter: &w.peerBytes}
		group.Go(func() error { return serve(running, server, listener) })
		group.Go(func() error { p.run(running, w); return nil })
	}
	group.Go(func() error { return w.changes(running) })
	group.Go(func() error { return w.restarts(running) })
	server := &http.Server{Handler: w.controlHandler(running), ReadHeaderTimeout: time.Second}
	group.Go(func() error { return serve(running, server, control) })
	return group.Wait()
}

// serve serves until ctx ends.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return fault.New("serve", listener.Addr().String(), err)
}

// changes makes catalogue changes until ctx ends.
func (w *Standins) changes(ctx context.Context) error {
	return every(ctx, w.config.ChangeInterval, func(int) error {
		return w.operator.change(ctx, w.config.Size.Customers)
	})
}

// restarts registers simulated hosts again, one after the other, until ctx ends.
func (w *Standins) restarts(ctx context.Context) error {
	return every(ctx, w.config.RestartInterval, func(n int) error {
		p := w.peers[n%len(w.peers)]
		next := p.owner
		next.Incarnation++
		owner, err := w.registrar.Register(ctx, next)
		if err != nil {
			return err
		}
		for _, other := range w.peers {
			other.restarted(owner.Host, owner.Epoch)
		}
		return nil
	})
}

// every calls f at intervals until ctx ends; never when the interval is zero.
func every(ctx context.Context, interval time.Duration, f func(n int) error) error {
	if interval <= 0 {
		return nil
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := f(n); err != nil && ctx.Err() == nil {
				return err
			}
		}
	}
}

// startTargets announces the measured host's targets at the daemon's local address until ctx ends.
func (w *Standins) startTargets(ctx context.Context, local string) error {
	runs := target.NewRuns()
	size := w.config.Size
	for n := size.Hosts - 1; n < size.Targets; n += size.Hosts {
		service := serviceName(n % size.Services)
		t := target.New(target.Config{
			Name: fmt.Sprintf("%s-measured-%d", service, n), Service: service,
			Listen: "127.0.0.1:0", Announce: local, Slots: targetSlots, ServiceTime: 10 * time.Millisecond,
		}, runs)
		if err := t.Listen(); err != nil {
			return err
		}
		go t.Run(ctx)
	}
	return nil
}
