package ratelimit

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// admissionValidity is how long after the decision an admission is valid whose
	// token was not prefetched.
	admissionValidity = GrantValidity
	// idleAfter is how long an entry keeps the state of an idle customer.
	idleAfter = 5 * time.Second
)

// Entry decides admissions at one daemon. After every call the owner takes the
// Outbox and processes it; it calls Tick no later than NextDue.
type Entry struct {
	config   EntryConfig
	balances map[id.CustomerID]*balance
	hosts    map[id.HostID]*hostState
	timers   timers
	outbox   Outbox
	// nextID numbers requests and waiters.
	nextID uint64
}

// NewEntry returns an entry without tokens.
func NewEntry(config EntryConfig) *Entry {
	if config.MaxWait == 0 {
		config.MaxWait = DefaultMaxWait
	}
	return &Entry{
		config:   config,
		balances: map[id.CustomerID]*balance{},
		hosts:    map[id.HostID]*hostState{},
	}
}

// Admit decides on one request of the customer.
func (e *Entry) Admit(now clock.Time, customer id.CustomerID) Decision {
	b := e.balance(now, customer)
	b.demand.observe(now)
	defer e.schedule(now, b)
	if len(b.waiters) == 0 {
		if until, ok := e.take(now, b); ok {
			e.prefetch(now, b)
			return Decision{Outcome: Admitted, Until: until}
		}
	}
	if denied := e.earlyRefusal(now, b); denied != nil {
		return Decision{Outcome: Refused, Denied: denied}
	}
	e.nextID++
	w := waiter{id: e.nextID, deadline: now.Add(e.config.MaxWait)}
	b.waiters = append(b.waiters, w)
	e.requestTokens(now, b)
	return Decision{Outcome: Pending, Waiter: w.id}
}

// Cancel removes a pending caller of the customer. A token that arrives for it goes
// to the next caller.
func (e *Entry) Cancel(now clock.Time, customer id.CustomerID, waiterID uint64) {
	b := e.balances[customer]
	if b == nil {
		return
	}
	b.waiters = slices.DeleteFunc(b.waiters, func(w waiter) bool { return w.id == waiterID })
	e.schedule(now, b)
}

// Outbox returns and clears the pending calls and resolutions.
func (e *Entry) Outbox() Outbox {
	out := e.outbox
	e.outbox = Outbox{}
	return out
}

// Customers returns the number of customers that the entry keeps state for.
func (e *Entry) Customers() int {
	return len(e.balances)
}

// take spends a token of a grant or of the local home. It returns the end of the
// admission and whether there was a token.
func (e *Entry) take(now clock.Time, b *balance) (clock.Time, bool) {
	if until, ok := b.spend(now); ok {
		return until, true
	}
	view := b.view(e.config.Self)
	if view == nil || e.config.Local == nil || !view.ready(now) {
		return 0, false
	}
	if e.takeLocal(now, b, view, Token) {
		return now.Add(admissionValidity), true
	}
	return 0, false
}

// takeLocal spends an amount of the local home's bucket. If that fails, it estimates
// the bucket's level from the time until the next token.
func (e *Entry) takeLocal(now clock.Time, b *balance, view *homeView, amount MicroTokens) bool {
	ok, retry := e.config.Local.Take(now, b.customer, amount)
	if ok {
		return true
	}
	view.markEmpty(now, retry)
	view.level = Token - earned(derated(b.averageShare().Rate), retry, Token)
	view.levelAt = now
	return false
}

// balance returns the customer's state, with limit and homes up to date.
func (e *Entry) balance(now clock.Time, customer id.CustomerID) *balance {
	b := e.balances[customer]
	if b == nil {
		b = &balance{customer: customer, heapIndex: -1, demand: demand{last: now}}
		e.balances[customer] = b
	}
	if version := e.config.Placement.Version(); b.version != version || b.homes == nil {
		b.version = version
		e.updateHomes(b)
	}
	return b
}

// updateHomes takes limit and homes from the placement, nearest home first. Homes at
// equal distance are ordered differently at every entry to spread the load.
func (e *Entry) updateHomes(b *balance) {
	b.limit = e.config.Placement.Limit(b.customer)
	old := b.homes
	b.homes = nil
	for _, host := range e.config.Placement.Homes(b.customer) {
		view := homeView{host: host, state: e.host(host), level: b.limit.capacity()}
		if i := slices.IndexFunc(old, func(v homeView) bool { return v.host == host }); i >= 0 {
			view = old[i]
		}
		view.distance = e.distance(host)
		b.homes = append(b.homes, view)
	}
	slices.SortStableFunc(b.homes, func(x, y homeView) int {
		return cmp.Or(
			cmp.Compare(x.distance, y.distance),
			cmp.Compare(e.tieBreak(x.host), e.tieBreak(y.host)))
	})
}

// host returns the state of a host, which all its customers share. States are never
// removed; there is one for every host that has been a home.
func (e *Entry) host(host id.HostID) *hostState {
	state := e.hosts[host]
	if state == nil {
		state = &hostState{}
		e.hosts[host] = state
	}
	return state
}

// distance returns a host's distance; it is -1 for the entry's own daemon.
func (e *Entry) distance(host id.HostID) int {
	if host == e.config.Self {
		return -1
	}
	if e.config.Distance == nil {
		return 0
	}
	return max(e.config.Distance(host), 0)
}

// tieBreak returns a hash that orders hosts differently at every entry.
func (e *Entry) tieBreak(host id.HostID) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(e.config.Self))
	hash.Write([]byte{0})
	hash.Write([]byte(host))
	return hash.Sum64()
}
