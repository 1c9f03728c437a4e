package statesync

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// relays decides from which host this one gets the roster. Every host computes the same order of the hosts of its
// failure domain. The first ones watch the store, and so does any other that was polled lately: if all first ones fail,
// the next ones take their place because they are asked. It is safe for concurrent use.
type relays struct {
	self   id.HostID
	domain id.FailureDomain

	mu sync.Mutex
	// avoid holds the time until which a failed relay is not polled.
	avoid map[id.HostID]time.Time
	// polledAt is when another host polled this one last.
	polledAt time.Time
	// recruited receives a value when this host is polled for the first time in a while.
	recruited chan struct{}
}

// newRelays returns the relays of a host.
func newRelays(self id.HostID, domain id.FailureDomain) *relays {
	return &relays{self: self, domain: domain, avoid: map[id.HostID]time.Time{}, recruited: make(chan struct{}, 1)}
}

// pick returns the host to poll, and false if this host should watch the store itself.
func (r *relays) pick(now time.Time, view *roster.View) (id.HostID, bool) {
	order := r.order(view)
	if slices.Contains(order[:min(len(order), watchersPerDomain)], r.self) {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.polledAt) < recruitedFor {
		return "", false
	}
	var usable []id.HostID
	for _, host := range order {
		if host != r.self && !now.Before(r.avoid[host]) && len(usable) < watchersPerDomain {
			usable = append(usable, host)
		}
	}
	// After failures of several hosts this one is among the first that are left.
	if len(usable) < watchersPerDomain {
		return "", false
	}
	return usable[xxhash.Sum64String(string(r.self))%watchersPerDomain], true
}

// order returns the hosts of the failure domain in the order in which they are used. It includes this host, whose record
// may not be written yet.
func (r *relays) order(view *roster.View) []id.HostID {
	hosts := []id.HostID{r.self}
	for _, record := range view.Hosts() {
		if record.Domain == r.domain && record.State != roster.Gone && record.Host != r.self {
			hosts = append(hosts, record.Host)
		}
	}
	slices.SortFunc(hosts, func(a, b id.HostID) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	return hosts
}

// failed records that a relay could not be used.
func (r *relays) failed(now time.Time, host id.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for known, until := range r.avoid {
		if !now.Before(until) {
			delete(r.avoid, known)
		}
	}
	r.avoid[host] = now.Add(avoidRelayFor)
}

// polled records that another host polled this one.
func (r *relays) polled(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.polledAt) >= recruitedFor {
		select {
		case r.recruited <- struct{}{}:
		default:
		}
	}
	r.polledAt = now
}
