package daemon

import (
	"errors"
	"net"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

const (
	// idleControlConnections bounds the idle connections to one peer for control messages.
	idleControlConnections = 2
	// idleControlTimeout closes unused control connections.
	idleControlTimeout = 30 * time.Second
)

// Provision opens the listeners and builds every part. If it fails, it closes everything that it
// opened.
func (d *Daemon) Provision() error {
	if err := d.listen(); err != nil {
		d.Cleanup()
		return err
	}
	if err := errors.Join(d.provisionMetrics(), d.provisionTLS()); err != nil {
		d.Cleanup()
		return err
	}
	d.controlClient = &http.Client{Transport: d.metrics.Control.Transport(hop.CheckedTransport(d.controlTransport()))}
	d.platformTransport = newTransport()
	d.platform = platform.NewClient(d.settings.Platform.Address, &http.Client{
		Transport: d.metrics.PlatformTransport(hop.CheckedTransport(d.platformTransport)),
		Timeout:   d.settings.Platform.Timeout,
	})
	d.store = cataloguestore.New(d.platform.Table(), d.platform.Objects())
	d.syncer = catalogsync.New(d.store, catalogsync.Config{
		Clock:        d.clock,
		Logger:       d.log,
		OnApply:      func(*catalogue.Snapshot) { notify(d.applied) },
		Seed:         uint64(d.incarnation),
		PollInterval: d.settings.Platform.PollInterval,
		CallTimeout:  d.settings.Platform.Timeout,
	})
	d.provisionMembership()
	d.provisionDuties()
	d.provisionAdmin()
	d.provisionHealth()
	if err := d.provisionLedgers(); err != nil {
		d.Cleanup()
		return err
	}
	d.provisionPath()
	return nil
}

// listen opens the four listeners.
func (d *Daemon) listen() error {
	for _, address := range []struct {
		step, value string
		into        *net.Listener
	}{
		{"listen for callers", d.settings.Listen.Caller, &d.listeners.caller},
		{"listen for peers", d.settings.Listen.Peer, &d.listeners.peer},
		{"listen for targets", d.settings.Listen.Local, &d.listeners.local},
		{"listen for operators", d.settings.Listen.Admin, &d.listeners.admin},
	} {
		listener, err := net.Listen("tcp", address.value)
		if err != nil {
			return fault.New(address.step, address.value, err)
		}
		*address.into = listener
	}
	return nil
}

// Cleanup closes everything that Provision opened.
func (d *Daemon) Cleanup() {
	for _, listener := range []net.Listener{d.listeners.caller, d.listeners.peer, d.listeners.local, d.listeners.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if d.exporter != nil {
		d.exporter.Close()
	}
	if d.grants != nil {
		d.grants.Close()
	}
	if d.hop != nil {
		d.hop.Close()
	}
	if d.controlClient != nil {
		d.controlClient.CloseIdleConnections()
		d.platformTransport.CloseIdleConnections()
	}
}
