package daemon

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/admin"
	"buckthornlatch.example/buckthornlatch/internal/balancer"
	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/claims"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/grants"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledgerrun"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
	"buckthornlatch.example/buckthornlatch/internal/metrics/scrape"
	"buckthornlatch.example/buckthornlatch/internal/permits"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
	"buckthornlatch.example/buckthornlatch/internal/registration"
	"buckthornlatch.example/buckthornlatch/internal/revocation"
	"buckthornlatch.example/buckthornlatch/internal/settings"
	"buckthornlatch.example/buckthornlatch/internal/tlsconfig"
)

// Daemon is one process of the fleet.
type Daemon struct {
	settings      settings.Settings
	log           zerolog.Logger
	clock         clock.Clock
	incarnation   id.Incarnation
	controlClient *http.Client
	// identity provides the TLS certificates; nil without TLS.
	identity *tlsconfig.Source
	// platformTransport carries the calls to the platform, which has no certificate of the
	// fleet's CA.
	platformTransport *http.Transport
	exporter          *scrape.Exporter
	metrics           *metrics.Set

	listeners listeners
	// account bounds what the connections of all servers hold.
	account          *memaccount.Account
	platform         *platform.Client
	store            *cataloguestore.Store
	syncer           *catalogsync.Syncer
	gossip           *gossip.Service
	fresh            *freshnessCache
	balancer         *balancer.Shared
	registrar        *registration.Registrar
	owners           *ownerWatch
	peers            *peerDirectory
	duties           *duties
	limits           *limits
	grants           *grants.Service
	revoked          *revocation.Set
	admin            *admin.Service
	flusher          *admin.Flusher
	ownKeys          *claims.Store
	health           *health
	judge            *ejection.Shared
	quarantine       *quarantine.Shared
	permitHome       *permits.Server
	permits          *permits.Client
	tickets          *ledgerrun.Runner
	dutyHandover     *dutyHandover
	handoverSender   *handover.Sender
	handoverReceiver *handover.Server
	hop              *hop.Client
	gate             *gate.Gate
	entry            *entry.Entry

	// applied signals the upkeep loop that the catalogue changed.
	applied chan struct{}
	// targetsChanged signals the upkeep loop that a target appeared, changed or disappeared.
	targetsChanged chan struct{}
	state          state
	// activeRevision is the catalogue revision that the limits use. Only the upkeep loop accesses
	// it.
	activeRevision catalogue.Revision
	// ticketsExpiredAt is the time of the last removal of expired ticket records. Only the upkeep
	// loop accesses it.
	ticketsExpiredAt clock.Time
	// peersJudgedAt is the time of the last merge of the health that other hosts published. Only
	// the upkeep loop accesses it.
	peersJudgedAt clock.Time
	// clocksUpdatedAt is the time at which gate clocks were last passed to the hop client. Only
	// the upkeep loop accesses it.
	clocksUpdatedAt clock.Time
}

// listeners are the daemon's listening sockets.
type listeners struct {
	caller, peer, local, admin net.Listener
}

// New returns a daemon without listeners or connections; Provision opens them.
func New(s settings.Settings, log zerolog.Logger) *Daemon {
	return &Daemon{
		settings:       s,
		log:            log,
		clock:          clock.NewSystem(),
		incarnation:    membership.NewIncarnation(time.Now(), uint16(rand.Uint32())),
		revoked:        &revocation.Set{},
		applied:        make(chan struct{}, 1),
		targetsChanged: make(chan struct{}, 1),
	}
}

// notify wakes the reader of a channel of capacity one without blocking.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
