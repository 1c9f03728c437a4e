package membership

import (
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Table is one daemon's view of the fleet. It is not safe for concurrent use.
type Table struct {
	config  Config
	started clock.Time
	self    *Record
	peers   map[id.HostID]*peerState
	byKey   map[uint32]id.HostID
	// names lists all hosts with a record, including the local one, sorted.
	names      []id.HostID
	dictionary uint64
	epochs     *Epochs
	riders     []Rider
	random     *rand.Rand
	// platformRead is the latest local time at which a covered or local platform read is known to have begun.
	platformRead clock.Time
	superseded   bool
	confirmed    bool
	// partners are the hosts to start exchanges with; exchanges counts the choices.
	partners  []id.HostID
	exchanges uint64
	changes   uint64
	// urgent lists records to be relayed at once, see isUrgent.
	urgent []*Record
}

// NewTable returns a table that contains only the local host.
func NewTable(config Config, now clock.Time) *Table {
	config = config.withDefaults()
	t := &Table{
		config:  config,
		started: now,
		self: &Record{
			Host:            config.Self,
			FailureDomain:   config.FailureDomain,
			Addresses:       config.Addresses,
			Incarnation:     config.Incarnation,
			Sequence:        1,
			ContentSequence: 1,
		},
		peers:        make(map[id.HostID]*peerState),
		byKey:        make(map[uint32]id.HostID),
		epochs:       NewEpochs(),
		random:       rand.New(rand.NewPCG(config.Seed, uint64(hostKey(config.Self)))),
		platformRead: never,
	}
	t.riders = append([]Rider{t.epochs}, config.Riders...)
	t.reindex()
	return t
}

// Self returns the local host's record.
func (t *Table) Self() *Record {
	return t.self
}

// Epochs returns the highest known epochs of all host slots.
func (t *Table) Epochs() *Epochs {
	return t.epochs
}

// Superseded reports whether there is a newer process of the local host. The daemon must then stop
// serving; a restart takes a newer incarnation.
func (t *Table) Superseded() bool {
	return t.superseded
}

// Changes returns the number of changes to records, so that readers can skip unchanged tables.
func (t *Table) Changes() uint64 {
	return t.changes
}

// Record returns a host's record, or nil.
func (t *Table) Record(host id.HostID) *Record {
	if host == t.config.Self {
		return t.self
	}
	if p := t.peers[host]; p != nil {
		return p.record
	}
	return nil
}

// Records returns all records in the order of the host names, including the local one.
func (t *Table) Records() []*Record {
	records := make([]*Record, 0, len(t.names))
	for _, host := range t.names {
		records = append(records, t.Record(host))
	}
	return records
}

// Suspected reports whether this observer has had no heartbeat of the host for SuspectPeriods. The
// local host is never suspected; a host without a record always is.
func (t *Table) Suspected(host id.HostID, now clock.Time) bool {
	if host == t.config.Self {
		return false
	}
	p := t.peers[host]
	return p == nil || now.Sub(p.aliveAt) > t.config.suspectAfter()
}

// AliveAge returns the time since the host is known to have been alive, directly or through relays.
func (t *Table) AliveAge(host id.HostID, now clock.Time) (time.Duration, bool) {
	if host == t.config.Self {
		return 0, true
	}
	p := t.peers[host]
	if p == nil || p.aliveAt == never {
		return 0, false
	}
	return now.Sub(p.aliveAt), true
}

// CoveredAt returns the latest local time at which the host is known to have been alive from a
// heartbeat that was merged together with its riders, for the freshness rule. For the local host it
// is now, but only after Confirm.
func (t *Table) CoveredAt(host id.HostID, now clock.Time) (clock.Time, bool) {
	if host == t.config.Self {
		return now, t.confirmed
	}
	p := t.peers[host]
	if p == nil || p.coveredAt == never {
		return 0, false
	}
	return p.coveredAt, true
}

// Confirm makes the local heartbeats count as covered, here and at the peers. Call it once the daemon
// is fresh without counting itself. A process that just started lacks the state that its predecessor
// acknowledged; if it counted, a majority could consist of hosts that all lack a revocation.
func (t *Table) Confirm() {
	t.confirmed = true
}

// NotePlatformRead records a confirmed read of the platform's changes by this daemon that began at startedAt.
func (t *Table) NotePlatformRead(startedAt clock.Time) {
	t.platformRead = max(t.platformRead, startedAt)
}

// PlatformReadAt returns the local time at which the newest confirmed platform read, local or
// relayed, is known to have begun.
func (t *Table) PlatformReadAt() (clock.Time, bool) {
	return t.platformRead, t.platformRead != never
}

// RemoveExpired removes the hosts without a heartbeat for ExpireAfter and returns them.
func (t *Table) RemoveExpired(now clock.Time) []id.HostID {
	var expired []id.HostID
	for _, host := range t.names {
		p := t.peers[host]
		if p != nil && now.Sub(p.aliveAt) > t.config.ExpireAfter {
			expired = append(expired, host)
		}
	}
	for _, host := range expired {
		delete(t.peers, host)
	}
	if len(expired) > 0 {
		t.reindex()
		t.changes++
	}
	return expired
}

// reindex rebuilds the fields that depend on the set of host names.
func (t *Table) reindex() {
	t.names = t.names[:0]
	t.names = append(t.names, t.config.Self)
	for host := range t.peers {
		t.names = append(t.names, host)
	}
	slices.Sort(t.names)
	clear(t.byKey)
	h := fnv.New64a()
	for _, host := range t.names {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(host))))
		_, _ = h.Write([]byte(host))
		t.indexKey(host)
	}
	t.dictionary = h.Sum64()
}

// indexKey adds a host's key to the index. A key shared by several hosts maps to none of them, and
// their records are sent whole.
func (t *Table) indexKey(host id.HostID) {
	key := hostKey(host)
	if _, taken := t.byKey[key]; taken {
		t.byKey[key] = ""
		return
	}
	t.byKey[key] = host
}
