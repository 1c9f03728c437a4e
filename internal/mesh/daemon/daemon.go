package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/lag"
	"buckthornlatch.example/buckthornlatch/internal/mesh/callerconn"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/connlimit"
	"buckthornlatch.example/buckthornlatch/internal/mesh/crashes"
	"buckthornlatch.example/buckthornlatch/internal/mesh/entry"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/limits"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
	"buckthornlatch.example/buckthornlatch/internal/mesh/pause"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
	"buckthornlatch.example/buckthornlatch/internal/mesh/statesync"
	"buckthornlatch.example/buckthornlatch/internal/mesh/traffic"
	"buckthornlatch.example/buckthornlatch/internal/metrics/scrape"
)

// Daemon is the process that runs beside a target.
type Daemon struct {
	config   Config
	clock    clock.Clock
	exporter *scrape.Exporter
	meters   *meters
	syncer   *statesync.Syncer
	gate     *gate.Gate
	client   *link.Client
	traffic  *trafficReport
	leaving  *leavingReport
	chooser  *choose.Shared
	limits   *limits.Limits
	evidence *crashes.Evidence
	pauses   *pause.Detector
	lag      *lag.Monitor
	entry    *entry.Entry
	front    *callerconn.Front
	account  *memaccount.Account
	servers  []*server
	// answers are those to attempts of other hosts.
	answers  openAnswers
	draining atomic.Bool
	// stopEnds is when a planned stop ends the requests that are still served; nil while there is none.
	stopEnds atomic.Pointer[time.Time]
	// startedAt is when the process started serving.
	startedAt clock.Time
	// refusing is set when new requests of callers are refused.
	refusing atomic.Bool
	// drainBegins is closed when the drain begins, stopping and ending at later steps of it.
	drainBegins, stopping, ending chan struct{}
}

// New returns a daemon that is not provisioned yet.
func New(config Config) *Daemon {
	config.Headers = config.Headers.Canonical()
	system := clock.NewSystem()
	return &Daemon{
		config: config, clock: system, startedAt: system.Now(),
		drainBegins: make(chan struct{}), stopping: make(chan struct{}), ending: make(chan struct{}),
	}
}

// Provision creates the components and opens the listeners.
func (d *Daemon) Provision() error {
	exporter, err := scrape.New()
	if err != nil {
		return fault.New("create metrics", "", err)
	}
	d.exporter, d.meters = exporter, newMeters(exporter.Scope)
	meter := traffic.NewMeter(func(host id.HostID) bool { return d.distance(host) == 0 })
	d.traffic = newTrafficReport(meter, exporter.Scope, d.config.Loggers.Events)
	d.leaving = newLeavingReport(exporter.Scope, d.config.Loggers.Events)
	d.client = link.NewCountingClient(meter)
	chooser := choose.New(d.config.Host, d.config.Domain, rand.Uint64())
	if d.config.RegionOf != nil {
		chooser.SetRegions(d.config.RegionOf)
	}
	d.chooser = choose.NewShared(chooser, d.clock)
	policyBound := func() time.Duration { return d.config.Bounds().Policy }
	stateBound := func() time.Duration { return d.config.Bounds().stateBound() }
	d.syncer = statesync.New(statesync.Config{
		Self: d.config.Host, Domain: d.config.Domain, Store: d.config.Store, Keys: d.config.Keys, Decode: d.config.DecodePolicy,
		Seeds: d.config.Seeds, OnChange: d.stateChanged, OnRestored: d.restored, OnRecordRead: d.recordRead, Log: d.config.Loggers.Events,
		PolicyBound: stateBound, Traffic: meter, Metrics: d.meters,
	})
	d.pauses, d.lag = pause.New(d.clock), lag.New(d.clock)
	d.evidence = crashes.New(d.config.Host, id.Incarnation(rand.Uint64()), d.clock)
	d.gate = gate.New(gate.Config{
		CrashEvidence: d.evidence,
		Host:          d.config.Host, Domain: d.config.Domain, Service: d.config.Service, TargetAddress: d.config.TargetAddress,
		Headers: d.config.Headers, Clock: d.clock, StopTime: func() time.Duration { return stopTime(d.config.Bounds().Grace) },
		FirstStart: d.config.FirstStart, PolicyVersion: d.syncer.Version, PublishRecord: d.syncer.Publish,
		AttemptLog: d.config.Loggers.Decisions, EventLog: d.config.Loggers.Events, Metrics: d.meters, AdmissionMetrics: d.meters,
	})
	d.limits = limits.New(limits.Config{
		Self: d.config.Host, Clock: d.clock, HTTP: newControlClient(meter), Distance: d.distance, Incarnation: id.Epoch(rand.Uint64()),
	})
	d.entry = entry.New(entry.Config{
		Service: d.config.Service, Headers: d.config.Headers, Policy: d.syncer, PolicyBound: policyBound, Limits: d.limits, CrashEvidence: d.evidence,
		Chooser: d.chooser, Sender: &sender{self: d.config.Host, gate: d.gate, client: d.client, syncer: d.syncer},
		Clock: d.clock, Pauses: d.pauses, Random: rand.Float64, StopLeft: d.stopLeft, Draining: d.drainBegins, StopEnds: d.endOfStop,
		Refusing: d.refusing.Load, Stopping: d.stopping, Ending: d.ending, Log: d.config.Loggers.Decisions, Metrics: d.meters,
	})
	d.account = newAccount(d.config)
	d.front = &callerconn.Front{
		Handler: d.entry, MayServeAhead: d.entry.MayServeAhead, Draining: d.draining.Load, Hold: connlimit.HoldAhead,
		MaxAhead: int64(aheadShare * float64(d.account.Size())),
	}
	return d.listen()
}

// stateChanged applies a new policy or view of the roster to the components.
func (d *Daemon) stateChanged(p *policy.Snapshot, view *roster.View) {
	d.chooser.SetView(view)
	d.client.Retain(func(host id.HostID) bool {
		_, known := view.Find(host)
		return known
	})
	d.limits.Update(d.clock.Now(), p, view)
	if p != nil {
		d.gate.SetWarmUp(p.WarmUp(d.config.Service))
		d.gate.SetHealthPath(p.HealthPath(d.config.Service))
	}
	if view.EvacuationKnown() {
		d.gate.SetEvacuation(view.Evacuated(d.config.Domain))
	}
	d.meters.setEvacuated(len(view.EvacuatedDomains()))
	d.gate.SetRepeatBudget(d.repeatBudget())
	if err := d.evidence.Merge(view); err != nil {
		d.config.Loggers.Events.Warn().Err(err).Msg("daemon: unreadable crash evidence of another host ignored")
	}
}

// restored takes over the record that an earlier process of this host has published.
func (d *Daemon) restored(r roster.Record) {
	if r.State != roster.Gone {
		// Hosts whose target is gone are no part of the division. The limits learn it first: what the gate publishes updates them.
		d.limits.Continue()
	}
	d.gate.Restore(r)
}

// recordRead is called once the store was read for the record of this host.
func (d *Daemon) recordRead(found bool) { d.gate.RecordRead(found) }

// repeatBudgetShare is the fraction of the fleet's repeat budget that the gates hand out. The rest is a reserve for the
// calls that a repeated run makes: they count as repeats too, but no gate can recognise them.
const repeatBudgetShare = 0.75

// repeatBudget returns the local gate's part of the repeat budget of its service. It has no part of the allowance before the
// roster is whole, since it cannot know among how many gates that is divided.
func (d *Daemon) repeatBudget() slots.RepeatBudget {
	b := d.config.Bounds()
	budget := slots.RepeatBudget{Ratio: repeatBudgetShare * b.RepeatRatio, Window: b.RepeatWindow}
	if d.syncer.View().Whole() {
		gates := max(d.chooser.ServingTargets(d.config.Service), 1)
		budget.Allowance = repeatBudgetShare * b.RepeatSlack / float64(gates)
	}
	return budget
}

// distance orders hosts: those of the local failure domain come first.
func (d *Daemon) distance(host id.HostID) int {
	if r, known := d.syncer.View().Find(host); known && r.Domain == d.config.Domain {
		return 0
	}
	return 1
}

// Announce implements Announcer.
func (d *Daemon) Announce(a gate.Announcement) error {
	return d.gate.Announce(a)
}

// ready reports whether callers should use this host. A host whose target is leaving will be stopped soon; callers that
// have moved away by then have no requests in flight that the stop could abort.
func (d *Daemon) ready() bool {
	return !d.draining.Load() && !d.gate.TargetLeaving() && d.syncer.Version() > 0
}

// Run serves until ctx ends, then drains.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, len(d.servers)+1)
	for _, s := range d.servers {
		go func() { failed <- s.serve() }()
	}
	go func() { failed <- d.syncer.Run(work) }()
	go d.tick(work)
	go d.watchPauses(work)
	go d.watchLag(work)
	d.config.Loggers.Events.Info().Str("address", string(d.config.Host)).Str("service", string(d.config.Service)).
		Msg("daemon: started")
	select {
	case err := <-failed:
		if err != nil {
			return err
		}
	case <-ctx.Done():
	}
	d.drain()
	return nil
}

// tick runs the periodic tasks until ctx ends.
func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(limits.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.limits.Tick(d.clock.Now())
			d.gate.SetRepeatBudget(d.repeatBudget())
			d.removeLostHosts(ctx)
			d.publishEvidence()
			d.meters.setCold(d.gate.Cold())
			d.meters.setDroppedLines(d.config.Loggers.Dropped())
			d.traffic.update(d.clock.Now())
			d.leaving.update(d.clock.Now(), d.chooser.Leaving())
			d.reportConns()
		case <-ctx.Done():
			return
		}
	}
}

// watchPauses shows the detector of pauses that the process runs, until ctx ends.
func (d *Daemon) watchPauses(ctx context.Context) {
	for clock.Sleep(ctx, d.pauses.Tick()) {
	}
}

// watchLag shows the monitor of the lag that the process runs, until ctx ends.
func (d *Daemon) watchLag(ctx context.Context) {
	for clock.Sleep(ctx, d.lag.Tick()) {
		// A goroutine whose timer expires is run next. A signal's goroutine waits behind all that are ready, as after Gosched.
		runtime.Gosched()
	}
}

// publishEvidence writes the host's record when its crash evidence has changed.
func (d *Daemon) publishEvidence() {
	if !d.evidence.Refresh() {
		return
	}
	d.gate.Publish()
}

// lostHostTimeout is how long attempts at a host must have failed to reach it before its record is removed. It is
// longer than network partitions between regions, which last a few minutes, and far shorter than the time in which
// records of lost hosts would accumulate.
const lostHostTimeout = 15 * time.Minute

// removeLostHosts removes the records of lost hosts from the store.
func (d *Daemon) removeLostHosts(ctx context.Context) {
	for _, host := range d.chooser.LostHosts(lostHostTimeout) {
		if err := d.syncer.DeleteRecord(ctx, host); err != nil {
			d.config.Loggers.Events.Warn().Err(err).Msg("daemon: could not remove the record of a lost host")
		}
	}
}

// Cleanup releases the resources that Provision acquired.
func (d *Daemon) Cleanup() {
	for _, s := range d.servers {
		s.close()
	}
	if d.limits != nil {
		d.limits.Close()
	}
	if d.exporter != nil {
		d.exporter.Close()
	}
}

// newControlClient returns the client for token grants, whose traffic the meter counts.
func newControlClient(meter *traffic.Meter) *http.Client {
	dial := meter.Dial(link.Dialer().DialContext, traffic.Grants)
	return &http.Client{Transport: hop.CheckedTransport(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: controlIdleTimeout, DisableCompression: true,
	})}
}

// controlIdleTimeout is how long an idle connection for token grants is kept; grants of a busy customer follow each
// other within seconds.
const controlIdleTimeout = 15 * time.Second
