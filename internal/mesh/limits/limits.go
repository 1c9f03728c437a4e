package limits

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/grants"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
	rpc "buckthornlatch.example/buckthornlatch/rpc/grants"
)

// Config configures Limits.
type Config struct {
	Self  id.HostID
	Clock clock.Clock
	// HTTP sends the calls to other hosts.
	HTTP rpc.HTTPClient
	// Distance orders homes, nearest first.
	Distance func(id.HostID) int
	// Incarnation distinguishes this process's grants from those of earlier processes on the host.
	Incarnation id.Epoch
}

// Limits admits requests and serves this host's shares as a home. It is safe for concurrent use.
type Limits struct {
	config  Config
	holder  grants.HomeHolder
	service *grants.Service

	mu        sync.RWMutex
	policy    *policy.Snapshot
	placement *ownership.Placement
	version   uint64
	assigned  map[id.CustomerID]ratelimit.Share
	// initialized is set once this process has assigned shares by a roster with members.
	initialized bool
	// continues is set if an earlier process of this host was part of the current division.
	continues bool
}

// New returns limits that admit nothing before the first Update.
func New(config Config) *Limits {
	l := &Limits{config: config, assigned: map[id.CustomerID]ratelimit.Share{}}
	l.placement = ownership.NewPlacement(ownership.NewRoster(0, 0, nil))
	l.holder.Set(ratelimit.NewHome(config.Incarnation, duty{}, config.Clock.Now()))
	l.service = grants.New(grants.Config{
		Clock: config.Clock, Self: config.Self, Placement: l, Peers: peers{}, HTTP: config.HTTP, Distance: config.Distance,
	}, &l.holder)
	return l
}

// Close ends all calls to other hosts.
func (l *Limits) Close() {
	l.service.Close()
}

// Handler returns the handler of other hosts' calls under Path.
func (l *Limits) Handler() http.Handler {
	return l.service.Handler()
}

// Path is the path prefix that Handler serves.
const Path = rpc.GrantsPathPrefix

// Admit takes a token of the customer's rate limit. The error may be a *ratelimit.DeniedError.
func (l *Limits) Admit(ctx context.Context, customer id.CustomerID) error {
	_, err := l.service.Admit(ctx, customer)
	return err
}

// Continue records that an earlier process of this host was part of the current division, so that the first shares of this
// one change nothing for the other homes. It must be called before the first Update.
func (l *Limits) Continue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.continues = true
}

// Tick puts shares in force that waited for the grants of an older division to end. It must be called every TickPeriod.
func (l *Limits) Tick(now clock.Time) {
	l.holder.Do(func(h *ratelimit.Home) { h.Tick(now) })
}

// Update applies a policy and a view of the roster. It does nothing without a policy or before the roster is whole: to
// know of no other home is not the same as to be the only one.
func (l *Limits) Update(now clock.Time, p *policy.Snapshot, view *roster.View) {
	if p == nil || !view.Whole() {
		return
	}
	var members []ownership.Member
	for _, r := range view.Hosts() {
		if r.State != roster.Gone {
			members = append(members, ownership.Member{Host: r.Host, FailureDomain: r.Domain})
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy = p
	if !slices.Equal(members, l.placement.Roster().Members) {
		l.placement = ownership.NewPlacement(ownership.NewRoster(0, 0, members))
	}
	l.version++
	l.assign(now)
}

// assign computes the shares of this host's home and assigns those that changed. The caller must hold l.mu.
func (l *Limits) assign(now clock.Time) {
	current := map[id.CustomerID]bool{}
	for customer, spec := range l.policy.Customers() {
		if !spec.Limited() {
			continue
		}
		limit := l.limit(customer)
		homes := l.homes(customer, limit)
		index := slices.Index(homes, l.config.Self)
		if index < 0 {
			continue
		}
		current[customer] = true
		share := ratelimit.NewShare(limit, index, len(homes), catalogue.Revision(1))
		// The first shares of a restarted process are in force at once, since they continue the current division. A change
		// of the division, as by a new host, must wait until no other home grants under the old one.
		share.First = !l.initialized && l.continues
		if before, known := l.assigned[customer]; known && before.Limit == share.Limit && before.Index == index && before.Homes == len(homes) {
			continue
		}
		l.assigned[customer] = share
		l.holder.Do(func(h *ratelimit.Home) { h.Assign(now, customer, share) })
	}
	for customer := range l.assigned {
		if !current[customer] {
			delete(l.assigned, customer)
			l.holder.Do(func(h *ratelimit.Home) { h.Unassign(customer) })
		}
	}
	l.initialized = l.initialized || len(l.placement.Roster().Members) > 0
}

// Version implements ratelimit.Placement.
func (l *Limits) Version() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.version
}

// Limit implements ratelimit.Placement.
func (l *Limits) Limit(customer id.CustomerID) ratelimit.Limit {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.limit(customer)
}

// limit is Limit for callers that hold l.mu.
func (l *Limits) limit(customer id.CustomerID) ratelimit.Limit {
	if l.policy == nil || l.policy.Customers()[customer] == nil {
		return ratelimit.Limit{}
	}
	spec := l.policy.Customers()[customer]
	return ratelimit.NewLimit(spec.RatePerSecond, spec.Burst)
}

// Homes implements ratelimit.Placement.
func (l *Limits) Homes(customer id.CustomerID) []id.HostID {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.homes(customer, l.limit(customer))
}

// homes is Homes for callers that hold l.mu.
func (l *Limits) homes(customer id.CustomerID, limit ratelimit.Limit) []id.HostID {
	return l.placement.Homes(ownership.Duty{Kind: ownership.RateHome, Name: string(customer)}, limit.HomeCount())
}

// duty is a home's permission to act, which is always granted here: a home owns its part of the rate as long as the
// roster places it there, and two views that differ for a moment differ by one part at most.
type duty struct{}

// Confirmed implements ratelimit.Duty.
func (duty) Confirmed(clock.Time) bool { return true }

// Settled implements ratelimit.Duty. All hosts receive a new roster within the time for which a new division waits.
func (duty) Settled(catalogue.Revision, clock.Time) bool { return true }

// peers implements grants.Peers. A host's name is its address.
type peers struct{}

// BaseURL implements grants.Peers.
func (peers) BaseURL(host id.HostID) (string, bool) {
	return "http://" + string(host), true
}

// TickPeriod is the period at which Tick must be called.
const TickPeriod time.Duration = ratelimit.TickPeriod
