package main

import (
	"context"
	"os"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/measuring/loopback"
)

// readyTimeout bounds the wait for a daemon to become ready.
const readyTimeout = 10 * time.Second

// fleet is a small deployment.
type fleet struct {
	binary, dir string
	// trouble is false if the scenario is played without its disruption.
	trouble bool
	record  *record
	store   *store
	ports   *loopback.Ports
	hosts   []*host

	ctx    context.Context
	cancel context.CancelFunc
	// work counts the goroutines of the stand-ins, callers those of the callers.
	work, callers sync.WaitGroup

	mu       sync.Mutex
	requests []request
}

// newFleet returns a deployment without hosts.
func newFleet(binary, recordPath string, trouble bool) (*fleet, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	out, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{binary: binary, dir: dir, trouble: trouble, record: out, store: newStore(), ports: loopback.NewPorts()}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	out.note("trouble: %v", trouble)
	return f, nil
}

// close ends all processes and removes the temporary files, unless KEEP_LOGS is set.
func (f *fleet) close() {
	f.cancel()
	f.work.Wait()
	f.callers.Wait()
	for _, h := range f.hosts {
		h.kill()
		if h.target.server != nil {
			h.target.stop()
		}
	}
	f.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// add prepares a host.
func (f *fleet) add(name, service string) (*host, error) {
	h, err := newHost(f, f.ports, name, service)
	if err == nil {
		f.hosts = append(f.hosts, h)
	}
	return h, err
}

// start starts the target and the daemon of hosts and waits until the daemons are ready.
func (f *fleet) start(hosts ...*host) error {
	for _, h := range hosts {
		if err := h.startTarget(); err != nil {
			return err
		}
		f.work.Go(func() { h.target.beat(f.ctx) })
		if err := h.startDaemon(); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if err := h.awaitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// at waits until a time after the start of the record.
func (f *fleet) at(seconds float64) {
	time.Sleep(time.Until(f.record.start.Add(time.Duration(seconds * float64(time.Second)))))
}

// runsOf returns all runs of a request at any target.
func (f *fleet) runsOf() map[string][]runRecord {
	runs := map[string][]runRecord{}
	for _, h := range f.hosts {
		for _, r := range h.target.allRuns() {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	return runs
}
