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
	settings    settings.Settings
	log         zerolog.Logger
	clock       clock.Clock
	incarnation id.Incarnation
	client      *http.Client
	// identity holds the TLS files; nil without TLS.
	identity *tlsconfig.Source
	// platformTransport carries the calls to the platform, which has no identity of the fleet.
	platformTransport *http.Transport
	exporter          *scrape.Exporter
	metrics           *metrics.Set

	listeners  listeners
	platform   *platform.Client
	store      *cataloguestore.Store
	syncer     *catalogsync.Syncer
	gossip     *gossip.Service
	fresh      *freshKeeper
	balancer   *balancer.Shared
	registrar  *registration.Registrar
	owners     *ownerWatch
	peers      *peerBook
	duties     *duties
	limits     *limits
	grants     *grants.Service
	revoked    *revocation.Set
	admin      *admin.Service
	flusher    *admin.Flusher
	ownKeys    *claims.Store
	health     *health
	judge      *ejection.Shared
	quarantine *quarantine.Shared
	permitHome *permits.Server
	permits    *permits.Client
	tickets    *ledgerrun.Runner
	moves      *dutyMoves
	sender     *handover.Sender
	receiver   *handover.Server
	hop        *hop.Client
	gate       *gate.Gate
	entry      *entry.Entry

	// applied wakes the upkeep after a catalogue change.
	applied chan struct{}
	// targetsChanged wakes the upkeep after a target appeared, changed or disappeared.
	targetsChanged chan struct{}
	state          state
	// acted is the catalogue revision that the limits act on. Only the upkeep uses it.
	acted catalogue.Revision
	// expiredAt is the time of the last removal of expired ticket records. Only the upkeep uses it.
	expiredAt clock.Time
	// judgedAt is the time of the judge's last look at other hosts. Only the upkeep uses it.
	judgedAt clock.Time
	// clocksAt is the time of the last hand-up of the gates' clocks. Only the upkeep uses it.
	clocksAt clock.Time
}

// listeners are the daemon's open addresses.
type listeners struct {
	caller, peer, local, admin net.Listener
}

// New returns a daemon that has not opened anything yet.
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
