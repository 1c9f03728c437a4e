package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/admin"
	"buckthornlatch.example/buckthornlatch/internal/audit"
	"buckthornlatch.example/buckthornlatch/internal/balancer"
	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/claims"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/grants"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledgerrun"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/permits"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

const (
	// idleControlConnections bounds the idle connections to one peer for control messages.
	idleControlConnections = 2
	// idleControlTimeout closes unused control connections.
	idleControlTimeout = 30 * time.Second
)

// Provision opens the listeners and builds every part. On an error everything
// that was opened is closed again.
func (d *Daemon) Provision() error {
	if err := d.listen(); err != nil {
		d.Cleanup()
		return err
	}
	if err := errors.Join(d.provisionMetrics(), d.provisionTLS()); err != nil {
		d.Cleanup()
		return err
	}
	d.client = &http.Client{Transport: d.metrics.Control.Transport(d.controlTransport())}
	d.platformTransport = newTransport()
	d.platform = platform.NewClient(d.settings.Platform.Address, &http.Client{
		Transport: d.metrics.PlatformTransport(d.platformTransport),
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

// provisionDuties builds the registration, the ownership state and the limits.
func (d *Daemon) provisionDuties() {
	host := id.HostID(d.settings.Host.Name)
	d.duties = newDuties(host, d.log)
	d.peers = &peerBook{scheme: d.peerScheme(), gossip: d.gossip}
	d.registrar = registration.New(d.platform.Table())
	d.owners = &ownerWatch{
		registrar: d.registrar,
		clock:     d.clock,
		log:       d.log,
		interval:  d.settings.Platform.PollInterval,
		learn:     d.learnOwners,
	}
	d.limits = newLimits(host, d.syncer, d.duties)
	d.grants = grants.New(grants.Config{
		Clock:     d.clock,
		Self:      host,
		Placement: d.limits,
		Peers:     d.peers,
		HTTP:      d.client,
		Distance:  d.distance,
	}, &d.limits.holder)
}

// distance orders hosts by failure domain: own host, own domain, elsewhere.
func (d *Daemon) distance(host id.HostID) int {
	if host == d.duties.self {
		return 0
	}
	found := d.syncer.Snapshot().Host(host)
	if found != nil && string(found.FailureDomain) == d.settings.Host.FailureDomain {
		return 1
	}
	return 2
}

// provisionAdmin builds the administration API.
func (d *Daemon) provisionAdmin() {
	editor := admin.NewEditor(d.store, d.syncer, time.Now)
	d.admin = admin.NewService(editor, audit.New(d.store), d.revoked, rand.Reader)
	d.flusher = admin.NewFlusher(editor, d.revoked, d.log)
}

// credentials returns the operators of the settings.
func (d *Daemon) credentials() admin.Credentials {
	var out admin.Credentials
	for _, operator := range d.settings.Operators {
		var hash admin.TokenHash
		// The settings were checked to hold a hash of the right length.
		_, _ = hex.Decode(hash[:], []byte(operator.TokenHash))
		out = append(out, admin.Credential{
			Operator:  admin.Operator{Name: operator.Name, Groups: operator.Groups},
			TokenHash: hash,
		})
	}
	return out
}

// provisionMembership builds gossip, freshness and target choice.
func (d *Daemon) provisionMembership() {
	host := id.HostID(d.settings.Host.Name)
	domain := id.FailureDomain(d.settings.Host.FailureDomain)
	peer := d.listeners.peer.Addr().String()
	d.balancer = balancer.NewShared(balancer.Config{
		Host:          host,
		FailureDomain: domain,
		Seed:          uint64(d.incarnation),
	}, d.clock)
	d.gossip = gossip.New(gossip.Config{
		Membership: membership.Config{
			Self:          host,
			FailureDomain: domain,
			Addresses:     membership.Addresses{Control: peer, Hop: peer},
			Incarnation:   d.incarnation,
			Period:        d.settings.Peers.GossipInterval,
			Seed:          uint64(d.incarnation),
			Riders: []membership.Rider{
				&catalogueRider{replica: d.syncer.Replica},
				&revocationRider{set: d.revoked},
			},
		},
		Seeds:    d.settings.Peers.Seeds,
		Scheme:   d.peerScheme(),
		Client:   d.client,
		Clock:    d.clock,
		Log:      d.log,
		Timeout:  d.settings.Peers.Timeout,
		OnChange: d.recordsChanged,
	})
	d.fresh = &freshKeeper{catalogue: d.syncer, gossip: d.gossip, clock: d.clock}
}

// provisionHealth builds the judge of the own targets, the permit home and the quarantine.
func (d *Daemon) provisionHealth() {
	host := id.HostID(d.settings.Host.Name)
	d.judge = ejection.NewShared(ejection.NewJudge(
		ejection.Holder{Host: host, Incarnation: d.incarnation}, ejection.DefaultPolicy()))
	d.quarantine = quarantine.NewShared(quarantine.Config{Host: host, Incarnation: d.incarnation}, d.clock)
	d.health = &health{
		clock:      d.clock,
		judge:      d.judge,
		quarantine: d.quarantine,
		probe:      func(t id.TargetID) { d.gate.Probe(context.Background(), t) },
		known:      make(map[id.TargetID]id.ServiceName),
	}
	homes := &permitHomes{
		duties:    d.duties,
		peers:     d.peers,
		gossip:    d.gossip,
		catalogue: d.syncer,
		clock:     d.clock,
	}
	d.permitHome = permits.NewServer(d.clock, homes, homes)
	d.permits = permits.NewClient(permits.Config{
		Clock:      d.clock,
		Judge:      d.judge,
		Placement:  homes,
		Local:      d.permitHome,
		OwnAddress: d.listeners.peer.Addr().String(),
		HTTP:       d.client,
		Scheme:     d.peerScheme(),
		Log:        d.log,
	})
}

// provisionLedgers builds the ticket records, the claims of callers' own keys
// and the handover of records.
func (d *Daemon) provisionLedgers() error {
	host := id.HostID(d.settings.Host.Name)
	holders := &recordHolders{gossip: d.gossip, peers: d.peers, client: d.client}
	claimSettings := claims.DefaultSettings()
	claimSettings.CommitInterval = time.Duration(float64(time.Second) / d.settings.Platform.ClaimCommitsPerSecond)
	ownKeys, err := claims.New(claims.Config{
		Table:       &claimTable{table: d.platform.Table()},
		Clock:       d.clock,
		Random:      rand.Reader,
		Host:        host,
		Incarnation: d.incarnation,
		Alive:       d.isAlive,
		Settings:    claimSettings,
	})
	if err != nil {
		return fault.New("create claims", "", err)
	}
	d.ownKeys = ownKeys
	runner := ledgerrun.DefaultSettings()
	runner.Ledger.Window = d.settings.Tickets.Window
	runner.Ledger.MaxClaims = d.settings.Tickets.MaxClaims
	runner.Ledger.MaxClaimsPerCustomer = min(runner.Ledger.MaxClaimsPerCustomer, runner.Ledger.MaxClaims)
	runner.Ledger.MaxStoredBytes = int(d.settings.Tickets.MaxStoredBytes)
	runner.Ledger.MaxResponseBytes = d.settings.Limits.MaxAnswerBytes
	d.tickets, err = ledgerrun.New(ledgerrun.Config{
		Self:      host,
		Clock:     d.clock,
		Random:    rand.Reader,
		OwnKeys:   ownKeys,
		Directory: holders,
		Dial:      holders.tickets,
		Settings:  runner,
	})
	if err != nil {
		return fault.New("create ledgers", "", err)
	}
	d.moves = &dutyMoves{duties: d.duties, clock: d.clock}
	d.sender = &handover.Sender{Self: host, Dial: holders.handover, Settings: handover.DefaultSettings()}
	d.receiver, err = handover.NewServer(handover.Config{
		Holder: d.tickets,
		Duties: d.moves,
		Sender: d.sender,
		Clock:  d.clock,
		Random: rand.Reader,
	})
	return fault.New("create handover", "", err)
}

// isAlive reports whether a process is known to be running.
func (d *Daemon) isAlive(host id.HostID, incarnation id.Incarnation) bool {
	alive := false
	d.gossip.View(func(t *membership.Table) {
		record := t.Record(host)
		alive = record != nil && record.Incarnation == incarnation && !t.Suspected(host, d.clock.Now())
	})
	return alive
}

// provisionPath builds the entry and the gate.
func (d *Daemon) provisionPath() {
	host := id.HostID(d.settings.Host.Name)
	routes := &router{catalogue: d.syncer}
	keys := &authenticator{catalogue: d.syncer, revoked: d.revoked, fresh: d.fresh}
	booked := newBookings(d.tickets)
	d.hop = hop.NewClient(hop.Config{TLS: d.hopTLS()}, d.clock)
	d.gate = gate.New(gate.Config{Host: host, Incarnation: d.incarnation}, gate.Deps{
		Clock:       d.clock,
		Catalogue:   routes,
		Revocations: keys,
		Health:      d.health,
		Quarantine:  d.health,
		Order:       newMeteredOrder(newFairOrder(d.clock), d.metrics),
		Changed:     func() { notify(d.targetsChanged) },
		Log:         d.log,
	})
	d.entry = entry.New(entry.Config{RetryFraction: d.settings.Limits.RetryFraction}, metered(entry.Deps{
		Clock:         d.clock,
		Authenticator: keys,
		Router:        routes,
		Quarantine:    &quarantineCheck{quarantine: d.quarantine},
		Admitter:      &admitter{grants: d.grants, limits: d.limits, gossip: d.gossip, clock: d.clock},
		Ledger:        booked,
		Tickets:       booked,
		Picker:        &picker{balancer: d.balancer, quarantine: d.quarantine, gossip: d.gossip, clock: d.clock},
		Sender:        d.hop,
		Random:        rand.Reader,
		Log:           d.log,
	}, d.metrics))
}

// listen opens the four addresses.
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
	if d.client != nil {
		d.client.CloseIdleConnections()
		d.platformTransport.CloseIdleConnections()
	}
}

// peerScheme is the URL scheme of calls to peers.
func (d *Daemon) peerScheme() string {
	if d.settings.TLS.Enabled() {
		return "https"
	}
	return "http"
}
