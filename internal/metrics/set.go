package metrics

import (
	"sync/atomic"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/freshness"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/mesh/connlimit"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// latencyBounds are the upper bounds of the latency buckets. The goal for the latency that the fleet adds is 1.7 ms.
var latencyBounds = []time.Duration{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

// codes are the refusal codes used as label values.
var codes = []string{
	string(problem.KeyMissing), string(problem.KeyInvalid), string(problem.KeysStale), string(problem.RouteUnknown),
	string(problem.RouteForbidden), string(problem.ConfigurationInvalid), string(problem.RateExceeded), string(problem.RateUnconfirmed),
	string(problem.QueueFull), string(problem.DeadlineTooShort), string(problem.NoTarget), string(problem.Draining),
	string(problem.RequestQuarantined), string(problem.TicketsUnavailable), string(problem.TicketInvalid),
	string(problem.TicketExpired), string(problem.IssuerLost), string(problem.KeyReused), string(problem.InProgress),
	string(problem.OutcomeUnknown), string(problem.AnswerNotKept), string(problem.ClaimStoreUnavailable),
	string(problem.BodyTooLarge), string(problem.BodyTimeout), string(problem.BadRequest), string(problem.AttemptBlocked),
	string(problem.ValidityExpired), string(problem.TargetFailed),
}

// Label values of results. Broken replaces the verdict of an attempt that returned none.
const (
	OK     = "ok"
	Failed = "failed"
	Broken = "broken"
)

// Set holds a daemon's metrics.
type Set struct {
	// Requests counts responses other than refusals by status class.
	Requests Family
	// Aborted counts requests whose response was aborted.
	Aborted Counter
	// Refusals counts refusals by code.
	Refusals Family
	// Latency is the time from receipt of the request header to the end of the response.
	Latency Histogram
	// InFlight is the number of callers' requests being served; SampleInFlight sets it.
	InFlight Gauge
	running  atomic.Int64
	// Attempts counts attempts by verdict.
	Attempts AttemptFamilies
	// Retries counts attempts after the first of a request.
	Retries Counter
	// Rate counts rate-limit decisions by result.
	Rate Family
	// Claims counts the ledger's decisions on idempotency keys.
	Claims Family
	// Tickets counts ticket requests by result.
	Tickets Family
	// Queues holds the metrics of the gate's queues.
	Queues *Services
	// Control counts control calls to other daemons.
	Control Calls
	// PlatformReads and PlatformWrites count calls to the platform.
	PlatformReads, PlatformWrites Family
	// Targets is the number of the host's targets in each state.
	Targets map[membership.TargetState]Gauge
	// Suspected is the number of the host's targets that the gate suspects but has not ejected.
	Suspected Gauge
	// CrashEvidence is the number of request fingerprints in the crash evidence that this host publishes.
	CrashEvidence Gauge
	// Quarantined counts requests refused because their fingerprint is quarantined for crashing targets.
	Quarantined Counter
	// Ejections counts ejections of the host's targets. A failed trial of an ejected target does not count again.
	Ejections Counter
	// Revision is the catalogue revision in use.
	Revision Gauge
	// CatalogueAge is the time since the last complete platform read in seconds; -1 before the first.
	CatalogueAge Gauge
	// Fresh is 1 for the evidence of freshness on which the daemon trusts its keys, and 0 for the other kinds.
	Fresh map[freshness.Basis]Gauge
	// DutiesConfirmed is 1 while the daemon may perform its slot's duties, and 0 otherwise.
	DutiesConfirmed Gauge
	// KnownHosts is the number of hosts with a membership record.
	KnownHosts Gauge
	// ConnMemory and Conns show what the connections of each owner hold; Refused counts refusals and ended connections.
	ConnMemory, Conns map[memaccount.Owner]Gauge
	Refused           map[memaccount.Owner]Family
}

// ConnRefused counts a refusal by the limits of connections, or the end of a connection.
func (s *Set) ConnRefused(owner memaccount.Owner, reason connlimit.Reason) {
	s.Refused[owner].Inc(string(reason))
}

// AttemptFamilies holds a counter by verdict for each route class.
type AttemptFamilies struct {
	Idempotent, Once Family
}

// Of returns the family of a route class.
func (a AttemptFamilies) Of(class hop.Class) Family {
	if class == hop.Idempotent {
		return a.Idempotent
	}
	return a.Once
}

// New creates all metrics except those of services.
func New(scope Scope) *Set {
	results := []string{OK, Failed}
	verdicts := []string{string(hop.NotRun), string(hop.Ran), string(hop.Unknown), Broken}
	s := &Set{
		Requests: newFamily(scope, "requests_total", "status", []string{"1xx", "2xx", "3xx", "4xx", "5xx"}),
		Aborted:  scope.Counter("requests_aborted_total"),
		Refusals: newFamily(scope, "refusals_total", "code", codes),
		Latency:  scope.Histogram("request_latency_seconds", latencyBounds),
		InFlight: scope.Gauge("requests_in_flight"),
		Attempts: AttemptFamilies{
			Idempotent: newFamily(scope, "attempts_total", "verdict", verdicts, Label{"class", "idempotent"}),
			Once:       newFamily(scope, "attempts_total", "verdict", verdicts, Label{"class", "once"}),
		},
		Retries:         scope.Counter("retries_total"),
		Rate:            newFamily(scope, "rate_admissions_total", "result", append([]string{OK}, codes...)),
		Claims:          newFamily(scope, "claims_total", "decision", append([]string{"run", "replay", "forward"}, codes...)),
		Tickets:         newFamily(scope, "tickets_total", "result", results),
		Queues:          newServices(scope),
		Control:         newCalls(scope),
		PlatformReads:   newFamily(scope, "platform_reads_total", "result", results),
		PlatformWrites:  newFamily(scope, "platform_writes_total", "result", results),
		Targets:         targetGauges(scope),
		Suspected:       scope.Gauge("targets_suspected"),
		CrashEvidence:   scope.Gauge("crash_evidence"),
		Quarantined:     scope.Counter("quarantined_requests_total"),
		Ejections:       scope.Counter("ejections_total"),
		Revision:        scope.Gauge("catalogue_revision"),
		CatalogueAge:    scope.Gauge("catalogue_age_seconds"),
		Fresh:           freshGauges(scope),
		DutiesConfirmed: scope.Gauge("duties_confirmed"),
		KnownHosts:      scope.Gauge("known_hosts"),

		ConnMemory: make(map[memaccount.Owner]Gauge), Conns: make(map[memaccount.Owner]Gauge), Refused: make(map[memaccount.Owner]Family),
	}
	var reasons []string
	for _, reason := range connlimit.Reasons {
		reasons = append(reasons, string(reason))
	}
	for _, owner := range memaccount.Owners {
		label := Label{"owner", owner.String()}
		s.ConnMemory[owner], s.Conns[owner] = scope.Gauge("connection_memory_bytes", label), scope.Gauge("connections", label)
		s.Refused[owner] = newFamily(scope, "connections_refused_total", "reason", reasons, label)
	}
	return s
}

// targetGauges creates a gauge for each target state.
func targetGauges(scope Scope) map[membership.TargetState]Gauge {
	gauges := make(map[membership.TargetState]Gauge)
	for state := membership.TargetStarting; state <= membership.TargetTrial; state++ {
		gauges[state] = scope.Gauge("targets", Label{"state", state.String()})
	}
	return gauges
}

// freshGauges creates a gauge for each kind of evidence.
func freshGauges(scope Scope) map[freshness.Basis]Gauge {
	gauges := make(map[freshness.Basis]Gauge)
	for basis := freshness.None; basis <= freshness.Majority; basis++ {
		gauges[basis] = scope.Gauge("freshness", Label{"basis", basis.String()})
	}
	return gauges
}
