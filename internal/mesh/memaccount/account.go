package memaccount

import (
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Owner is a group of connections with bounds of its own.
type Owner int

// The owners.
const (
	Callers Owner = iota
	Peers
	Targets
	Probes
	Operators
	ownerCount
)

// Owners lists all owners.
var Owners = [ownerCount]Owner{Callers, Peers, Targets, Probes, Operators}

// String returns the name for metrics and logs.
func (o Owner) String() string {
	return [ownerCount]string{"callers", "peers", "targets", "probes", "operators"}[o]
}

// Bound is what an owner may hold.
type Bound struct {
	Bytes int64
	Conns int
}

// Account holds the sums. It is safe for concurrent use.
type Account struct {
	mu     sync.Mutex
	size   int64
	held   int64
	bounds [ownerCount]Bound
	used   [ownerCount]Bound
	// holders holds all connections that count; each knows its index.
	holders []*Holder
}

// New returns an empty account of a size in bytes.
func New(size int64, bounds map[Owner]Bound) *Account {
	a := &Account{size: size}
	for owner, bound := range bounds {
		a.bounds[owner] = bound
	}
	return a
}

// Size returns the bound on all bytes.
func (a *Account) Size() int64 { return a.size }

// Held returns the bytes and connections that an owner holds.
func (a *Account) Held(owner Owner) Bound {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[owner]
}

// Open adds a connection that is charged for itself. end ends it and is called only by End. The connection is refused if the bounds
// are reached and none can give way.
func (a *Account) Open(now clock.Time, owner Owner, end func()) (*Holder, Victims, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var victims Victims
	for a.used[owner].Conns >= a.bounds[owner].Conns {
		v := a.weakest(now, func(h *Holder) bool { return h.owner == owner })
		if v == nil {
			return nil, victims, false
		}
		victims = append(victims, v)
		a.remove(v)
	}
	h := &Holder{account: a, owner: owner, end: end, since: now, index: len(a.holders)}
	a.holders = append(a.holders, h)
	a.used[owner].Conns++
	more, ok := a.charge(now, h, ConnBytes)
	victims = append(victims, more...)
	if !ok {
		a.remove(h)
		return nil, victims, false
	}
	return h, victims, true
}

// charge adds bytes to what a holder holds. The caller must hold a.mu.
func (a *Account) charge(now clock.Time, h *Holder, bytes int64) (Victims, bool) {
	if h.index < 0 {
		return nil, false
	}
	var victims Victims
	for {
		var from func(*Holder) bool
		switch {
		case a.used[h.owner].Bytes+bytes > a.bounds[h.owner].Bytes:
			from = func(other *Holder) bool { return other.owner == h.owner }
		case a.held+bytes > a.size:
			from = func(*Holder) bool { return true }
		default:
			h.bytes += bytes
			a.held += bytes
			a.used[h.owner].Bytes += bytes
			return victims, true
		}
		v := a.weakest(now, func(other *Holder) bool { return other != h && from(other) })
		if v == nil || (h.mayGiveWay() && h.weight(now, bytes) >= v.weight(now, 0)) {
			return victims, false
		}
		victims = append(victims, v)
		a.remove(v)
	}
}

// weakest returns the holder that gives way first, nil if there is none. The caller must hold a.mu.
func (a *Account) weakest(now clock.Time, from func(*Holder) bool) *Holder {
	var weakest, idle *Holder
	for _, h := range a.holders {
		switch {
		case !from(h):
		case h.stage == Kept && h.writing == 0:
			if idle == nil || h.since.Before(idle.since) {
				idle = h
			}
		case h.mayGiveWay() && (weakest == nil || h.weight(now, 0) > weakest.weight(now, 0)):
			weakest = h
		}
	}
	if weakest == nil {
		return idle
	}
	return weakest
}

// remove takes a holder and what it holds out of the account. The caller must hold a.mu.
func (a *Account) remove(h *Holder) {
	if h.index < 0 {
		return
	}
	last := len(a.holders) - 1
	a.holders[h.index] = a.holders[last]
	a.holders[h.index].index = h.index
	a.holders[last] = nil
	a.holders = a.holders[:last]
	h.index = -1
	a.held -= h.bytes
	a.used[h.owner].Bytes -= h.bytes
	a.used[h.owner].Conns--
	h.bytes = 0
}

// Victims are holders that have given way. They do not count any more.
type Victims []*Holder

// End ends the connections.
func (v Victims) End() {
	for _, h := range v {
		h.end()
	}
}

// minWait is the least waiting time in a weight, so that size decides among holders that have just begun to wait.
const minWait = time.Second
