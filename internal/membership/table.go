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

// Table is one daemon's knowledge of the fleet. It is not safe for concurrent use.
type Table struct {
	config  Config
	started clock.Time
	self    *Record
	entries map[id.HostID]*entry
	byKey   map[uint32]id.HostID
	// names are all hosts with a record, the own one included, in order.
	names      []id.HostID
	dictionary uint64
	epochs     *Epochs
	riders     []Rider
	random     *rand.Rand
	// platformRead is the latest local time at which a covered platform read is known to have begun.
	platformRead clock.Time
	superseded   bool
	confirmed    bool
	// partners are the hosts of the next exchanges; exchanges counts the choices.
	partners  []id.HostID
	exchanges uint64
	changes   uint64
	// urgent are records to be passed on at once, see isUrgent.
	urgent []*Record
}

// NewTable returns a table that knows only its own host.
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
		entries:      make(map[id.HostID]*entry),
		byKey:        make(map[uint32]id.HostID),
		epochs:       NewEpochs(),
		random:       rand.New(rand.NewPCG(config.Seed, uint64(hostKey(config.Self)))),
		platformRead: never,
	}
	t.riders = append([]Rider{t.epochs}, config.Riders...)
	t.reindex()
	return t
}

// Self returns the own record.
func (t *Table) Self() *Record {
	return t.self
}

// Epochs returns the highest epochs known of all host slots.
func (t *Table) Epochs() *Epochs {
	return t.epochs
}

// Superseded reports whether a newer process of the own host was heard. The daemon must stop
// serving; a restart takes a newer incarnation.
func (t *Table) Superseded() bool {
	return t.superseded
}

// Changes counts the changes to records, so that readers can skip unchanged tables.
func (t *Table) Changes() uint64 {
	return t.changes
}

// Record returns a host's record, or nil.
func (t *Table) Record(host id.HostID) *Record {
	if host == t.config.Self {
		return t.self
	}
	if e := t.entries[host]; e != nil {
		return e.record
	}
	return nil
}

// Records returns all records in the order of the host names, the own one included.
func (t *Table) Records() []*Record {
	records := make([]*Record, 0, len(t.names))
	for _, host := range t.names {
		records = append(records, t.Record(host))
	}
	return records
}

// Suspected reports whether this observer has not heard the host for SuspectPeriods. The own host never is.
func (t *Table) Suspected(host id.HostID, now clock.Time) bool {
	if host == t.config.Self {
		return false
	}
	e := t.entries[host]
	return e == nil || now.Sub(e.alive) > t.config.suspectAfter()
}

// HeardAge returns the time since the host is known to have been alive, through any relay.
func (t *Table) HeardAge(host id.HostID, now clock.Time) (time.Duration, bool) {
	if host == t.config.Self {
		return 0, true
	}
	e := t.entries[host]
	if e == nil || e.alive == never {
		return 0, false
	}
	return now.Sub(e.alive), true
}

// CoveredAt returns the latest local time of a heartbeat that was accepted together with its
// riders, for the freshness rule. The own host is covered now, but only after Confirm.
func (t *Table) CoveredAt(host id.HostID, now clock.Time) (clock.Time, bool) {
	if host == t.config.Self {
		return now, t.confirmed
	}
	e := t.entries[host]
	if e == nil || e.covered == never {
		return 0, false
	}
	return e.covered, true
}

// Confirm lets the own heartbeats count, here and at the peers. Call it once the daemon is fresh
// without counting itself. A process that just started has forgotten what its predecessor
// acknowledged; if it counted, a majority could be made of hosts that all lack a revocation.
func (t *Table) Confirm() {
	t.confirmed = true
}

// NotePlatformRead records an own confirmed read of the platform's changes that began at startedAt.
func (t *Table) NotePlatformRead(startedAt clock.Time) {
	t.platformRead = max(t.platformRead, startedAt)
}

// PlatformReadAt returns the local time at which the newest confirmed platform read, own or
// relayed, is known to have begun.
func (t *Table) PlatformReadAt() (clock.Time, bool) {
	return t.platformRead, t.platformRead != never
}

// Forget drops the hosts that were not heard for ForgetAfter and returns them.
func (t *Table) Forget(now clock.Time) []id.HostID {
	var gone []id.HostID
	for _, host := range t.names {
		e := t.entries[host]
		if e != nil && now.Sub(e.alive) > t.config.ForgetAfter {
			gone = append(gone, host)
		}
	}
	for _, host := range gone {
		delete(t.entries, host)
	}
	if len(gone) > 0 {
		t.reindex()
		t.changes++
	}
	return gone
}

// reindex rebuilds what depends on the set of host names.
func (t *Table) reindex() {
	t.names = t.names[:0]
	t.names = append(t.names, t.config.Self)
	for host := range t.entries {
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

// indexKey enters a host's key; hosts whose keys collide have none and travel as whole records.
func (t *Table) indexKey(host id.HostID) {
	key := hostKey(host)
	if _, taken := t.byKey[key]; taken {
		t.byKey[key] = ""
		return
	}
	t.byKey[key] = host
}
