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
	// admissionValidity is how long an admission is valid whose token was spent
	// when it was decided.
	admissionValidity = GrantValidity
	// idleAfter is how long an entry remembers the demand of an idle customer.
	idleAfter = 5 * time.Second
)

// Entry decides admissions at one daemon. After every call the owner takes the
// Outbox and carries it out; it calls Tick no later than NextDue.
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

// Admit decides about one request of the customer.
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
	if denied := e.hopeless(now, b); denied != nil {
		return Decision{Outcome: Refused, Denied: denied}
	}
	e.nextID++
	w := waiter{id: e.nextID, deadline: now.Add(e.config.MaxWait)}
	b.waiters = append(b.waiters, w)
	e.ask(now, b)
	return Decision{Outcome: Pending, Waiter: w.id}
}

// Cancel forgets a pending caller of the customer. A token that comes for it
// goes to the next caller.
func (e *Entry) Cancel(now clock.Time, customer id.CustomerID, waiterID uint64) {
	b := e.balances[customer]
	if b == nil {
		return
	}
	b.waiters = slices.DeleteFunc(b.waiters, func(w waiter) bool { return w.id == waiterID })
	e.schedule(now, b)
}

// Outbox returns and clears what is to be carried out.
func (e *Entry) Outbox() Outbox {
	out := e.outbox
	e.outbox = Outbox{}
	return out
}

// Customers returns the number of customers that the entry keeps state for.
func (e *Entry) Customers() int {
	return len(e.balances)
}

// take spends a token of a grant or of the own home. It returns the end of the admission.
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

// takeLocal spends an amount of the own home's bucket.
func (e *Entry) takeLocal(now clock.Time, b *balance, view *homeView, amount Micro) bool {
	ok, retry := e.config.Local.Take(now, b.customer, amount)
	if ok {
		return true
	}
	view.empty(now, retry)
	view.level = Token - earned(derated(b.share().Rate), retry, Token)
	view.levelAt = now
	return false
}

// balance returns the customer's state with the current homes.
func (e *Entry) balance(now clock.Time, customer id.CustomerID) *balance {
	b := e.balances[customer]
	if b == nil {
		b = &balance{customer: customer, position: -1, demand: demand{last: now}}
		e.balances[customer] = b
	}
	if version := e.config.Placement.Version(); b.version != version || b.homes == nil {
		b.version = version
		e.place(b)
	}
	return b
}

// place takes limit and homes from the placement, nearest home first. Homes at
// equal distance are ordered differently at every entry to spread the load.
func (e *Entry) place(b *balance) {
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
			cmp.Compare(e.spread(x.host), e.spread(y.host)))
	})
}

// host returns the state of a host. There are as many as host names in use.
func (e *Entry) host(host id.HostID) *hostState {
	state := e.hosts[host]
	if state == nil {
		state = &hostState{}
		e.hosts[host] = state
	}
	return state
}

// distance is -1 for the own daemon.
func (e *Entry) distance(host id.HostID) int {
	if host == e.config.Self {
		return -1
	}
	if e.config.Distance == nil {
		return 0
	}
	return max(e.config.Distance(host), 0)
}

// spread returns a fixed order of hosts that differs between entries.
func (e *Entry) spread(host id.HostID) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(e.config.Self))
	hash.Write([]byte{0})
	hash.Write([]byte(host))
	return hash.Sum64()
}
