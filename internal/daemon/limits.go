package daemon

import (
	"slices"
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/grants"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// limits places the customers' limits on homes and keeps this daemon's home in
// step with the catalogue.
type limits struct {
	self      id.HostID
	catalogue snapshots
	duties    *duties
	holder    grants.Holder

	// assigned are the shares of the own home. A share is assigned again only
	// when it differs, because an unfinished change would start over.
	assigned map[id.CustomerID]ratelimit.Share
	// seen are the customers of every snapshot since the process started. A
	// customer that was never seen has no home yet that could still grant.
	seen map[id.CustomerID]bool
	// confirmed is set once a complete catalogue was taken over. Customers that
	// appear later are new.
	confirmed atomic.Bool
	hasHome   bool
}

// newLimits returns limits without a home.
func newLimits(self id.HostID, catalogue snapshots, d *duties) *limits {
	return &limits{
		self:      self,
		catalogue: catalogue,
		duties:    d,
		assigned:  make(map[id.CustomerID]ratelimit.Share),
		seen:      make(map[id.CustomerID]bool),
	}
}

// Version implements ratelimit.Placement.
func (l *limits) Version() uint64 {
	return uint64(l.catalogue.Snapshot().Revision())
}

// Limit implements ratelimit.Placement.
func (l *limits) Limit(customer id.CustomerID) ratelimit.Limit {
	found := l.catalogue.Snapshot().Customer(customer)
	if found == nil {
		return ratelimit.Limit{}
	}
	return ratelimit.NewLimit(found.RatePerSecond, found.Burst)
}

// Homes implements ratelimit.Placement.
func (l *limits) Homes(customer id.CustomerID) []id.HostID {
	return l.homesOf(customer, l.Limit(customer))
}

// homesOf returns the homes of a customer with a limit.
func (l *limits) homesOf(customer id.CustomerID, limit ratelimit.Limit) []id.HostID {
	duty := ownership.Duty{Kind: ownership.RateHome, Name: string(customer)}
	return l.duties.placement.Load().Homes(duty, limit.HomeCount())
}

// start gives the daemon its home when its slot is first confirmed.
func (l *limits) start(epoch id.Epoch, now clock.Time) {
	if l.hasHome || epoch == 0 || !l.duties.Confirmed(now) {
		return
	}
	l.hasHome = true
	home := ratelimit.NewHome(epoch, l.duties, now)
	if epoch > 1 {
		home = ratelimit.NewSuccessor(epoch, l.duties, now)
	}
	l.holder.Set(home)
}

// behind reports whether the catalogue must be taken over without a change of it:
// before the first complete one, and after the home started.
func (l *limits) behind() bool {
	return !l.confirmed.Load() || (l.hasHome && len(l.assigned) == 0)
}

// tick keeps the home's shares in step with its duty.
func (l *limits) tick(now clock.Time) {
	l.holder.Do(func(h *ratelimit.Home) { h.Tick(now) })
}

// apply assigns the shares of a snapshot to the own home. complete says that the
// snapshot holds the whole catalogue of a platform read.
func (l *limits) apply(snapshot *catalogue.Snapshot, complete bool, now clock.Time) {
	current := make(map[id.CustomerID]bool, len(l.assigned))
	for _, e := range snapshot.Sorted(catalogue.KindCustomer) {
		customer, ok := e.(*catalogue.Customer)
		if !ok {
			continue
		}
		if l.hasHome && l.assign(customer, snapshot.Revision(), now) {
			current[customer.ID] = true
		}
		l.seen[customer.ID] = true
	}
	for customer := range l.assigned {
		if !current[customer] {
			l.holder.Do(func(h *ratelimit.Home) { h.Unassign(customer) })
			delete(l.assigned, customer)
		}
	}
	if complete {
		l.confirmed.Store(true)
	}
}

// assign sets one customer's share if the own slot is one of its homes.
func (l *limits) assign(c *catalogue.Customer, revision catalogue.Revision, now clock.Time) bool {
	limit := ratelimit.NewLimit(c.RatePerSecond, c.Burst)
	homes := l.homesOf(c.ID, limit)
	index := slices.Index(homes, l.self)
	if index < 0 {
		return false
	}
	share := ratelimit.NewShare(limit, index, len(homes), revision)
	if old, ok := l.assigned[c.ID]; ok && sameShare(old, share) {
		return true
	}
	share.First = l.confirmed.Load() && !l.seen[c.ID]
	l.assigned[c.ID] = share
	l.holder.Do(func(h *ratelimit.Home) { h.Assign(now, c.ID, share) })
	return true
}

// sameShare reports whether two shares differ in nothing but the revision.
func sameShare(a, b ratelimit.Share) bool {
	return a.Limit == b.Limit && a.Index == b.Index && a.Homes == b.Homes
}
