package daemon

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/grants"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// limits assigns the customers' rate limits to homes and updates this daemon's home when the
// catalogue changes.
type limits struct {
	self      id.HostID
	catalogue snapshotSource
	duties    *duties
	holder    grants.HomeHolder

	// assigned are the shares of this daemon's home.
	assigned map[id.CustomerID]ratelimit.Share
	hasHome  bool
}

// newLimits returns limits without a home.
func newLimits(self id.HostID, catalogue snapshotSource, d *duties) *limits {
	return &limits{
		self:      self,
		catalogue: catalogue,
		duties:    d,
		assigned:  make(map[id.CustomerID]ratelimit.Share),
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

// homesOf returns the homes of a customer that has the given limit.
func (l *limits) homesOf(customer id.CustomerID, limit ratelimit.Limit) []id.HostID {
	duty := ownership.Duty{Kind: ownership.RateHome, Name: string(customer)}
	return l.duties.placement.Load().Homes(duty, limit.HomeCount())
}

// start creates the daemon's home when its slot is first confirmed, and reports whether it did.
func (l *limits) start(epoch id.Epoch, now clock.Time) bool {
	if l.hasHome || epoch == 0 || !l.duties.Confirmed(now) {
		return false
	}
	l.hasHome = true
	home := ratelimit.NewHome(epoch, l.duties, now)
	if epoch > 1 {
		home = ratelimit.NewSuccessor(epoch, l.duties, now)
	}
	l.holder.Set(home)
	return true
}

// apply assigns the shares of a snapshot to this daemon's home.
func (l *limits) apply(snapshot *catalogue.Snapshot, now clock.Time) {
	current := make(map[id.CustomerID]bool, len(l.assigned))
	for customer := range snapshot.Customers() {
		if l.hasHome && l.assign(customer, snapshot, now) {
			current[customer.ID] = true
		}
	}
	for customer := range l.assigned {
		if !current[customer] {
			l.holder.Do(func(h *ratelimit.Home) { h.Unassign(customer) })
			delete(l.assigned, customer)
		}
	}
}

// assign sets one customer's share, and reports whether this host is one of the customer's homes.
func (l *limits) assign(c *catalogue.Customer, snapshot *catalogue.Snapshot, now clock.Time) bool {
	limit := ratelimit.NewLimit(c.RatePerSecond, c.Burst)
	homes := l.homesOf(c.ID, limit)
	index := slices.Index(homes, l.self)
	if index < 0 {
		return false
	}
	// The split of a limit depends only on the customer's catalogue entry and the roster. The
	// share carries the newer revision of the two, so that other catalogue changes do not assign
	// it again, which would restart an unfinished change of the split.
	roster, _ := snapshot.RosterRevisions()
	share := ratelimit.NewShare(limit, index, len(homes), max(c.Revision, roster))
	share.First = isFirstSplit(c, snapshot)
	if l.assigned[c.ID] == share {
		return true
	}
	l.assigned[c.ID] = share
	l.holder.Do(func(h *ratelimit.Home) { h.Assign(now, c.ID, share) })
	return true
}

// isFirstSplit reports whether the customer's limit was never split differently: neither the
// customer nor the roster changed since the customer was created, and no earlier customer of that
// name can have been removed.
func isFirstSplit(c *catalogue.Customer, snapshot *catalogue.Snapshot) bool {
	roster, _ := snapshot.RosterRevisions()
	return c.Created == c.Revision && roster <= c.Created && snapshot.CustomerRemoval() == 0
}
