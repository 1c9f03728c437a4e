package ownership

import (
	"math"
	"slices"
	"sync"

	"github.com/twmb/murmur3"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Placement places duties on the members of one roster. It computes a duty's
// homes once, in time proportional to the size of the roster, and caches them.
// It is safe for concurrent use.
type Placement struct {
	roster        Roster
	memberHashes  []uint64
	memberDomains []uint16
	domainCount   int

	mu    sync.RWMutex
	cache map[placementKey]homes
}

// placementKey identifies a cached result by the duty's hash. Duties with equal
// hashes have the same score on every host, so they may share an entry.
type placementKey struct {
	duty uint64
	k    uint8
}

// NewPlacement returns a placement over a roster of at most 65,535 members.
func NewPlacement(roster Roster) *Placement {
	invariant.Check(len(roster.Members) <= math.MaxUint16, "placement-roster-size",
		"roster has %d members", len(roster.Members))
	p := &Placement{roster: roster, cache: map[placementKey]homes{}}
	domainIndexes := map[id.FailureDomain]uint16{}
	for _, m := range roster.Members {
		n, ok := domainIndexes[m.FailureDomain]
		if !ok {
			n = uint16(len(domainIndexes))
			domainIndexes[m.FailureDomain] = n
		}
		p.memberHashes = append(p.memberHashes, murmur3.StringSum64(string(m.Host)))
		p.memberDomains = append(p.memberDomains, n)
	}
	p.domainCount = len(domainIndexes)
	return p
}

// Roster returns the roster of the placement.
func (p *Placement) Roster() Roster {
	return p.roster
}

// Homes returns the at most k hosts that perform a duty, highest score first,
// with at most ceil(k / failure domains) in one failure domain. k is at most
// MaxHomes. The result is shorter than k when the roster is too small.
func (p *Placement) Homes(duty Duty, k int) []id.HostID {
	h := p.lookup(duty, k)
	hosts := make([]id.HostID, h.count)
	for i := range hosts {
		hosts[i] = p.roster.Members[h.members[i]].Host
	}
	return hosts
}

// Places reports whether the host is one of the duty's k homes.
func (p *Placement) Places(duty Duty, k int, host id.HostID) bool {
	h := p.lookup(duty, k)
	for _, m := range h.members[:h.count] {
		if p.roster.Members[m].Host == host {
			return true
		}
	}
	return false
}

// lookup returns a duty's homes from the cache or computes them.
func (p *Placement) lookup(duty Duty, k int) homes {
	k = min(max(k, 0), MaxHomes)
	key := placementKey{duty: hashDuty(duty), k: uint8(k)}
	p.mu.RLock()
	h, ok := p.cache[key]
	p.mu.RUnlock()
	if ok {
		return h
	}
	h = p.computeHomes(key.duty, k)
	p.mu.Lock()
	p.cache[key] = h
	p.mu.Unlock()
	return h
}

// computeHomes scores every member for one duty and selects the homes.
func (p *Placement) computeHomes(duty uint64, k int) homes {
	if k == 0 || p.domainCount == 0 {
		return homes{}
	}
	limit := (k + p.domainCount - 1) / p.domainCount
	rankings := make([]ranking, p.domainCount)
	for i, hash := range p.memberHashes {
		c := candidate{score: mix(hash ^ duty), member: uint16(i)}
		rankings[p.memberDomains[i]].insert(c, limit)
	}
	var all []candidate
	for i := range rankings {
		all = append(all, rankings[i].best[:rankings[i].count]...)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	var h homes
	for _, c := range all[:min(k, len(all))] {
		h.members[h.count] = c.member
		h.count++
	}
	return h
}

// hashDuty returns the hash from which a duty's scores are computed. All versions of
// the program must return the same result, since they place duties independently.
func hashDuty(d Duty) uint64 {
	return murmur3.SeedStringSum64(uint64(d.Kind), d.Name)
}

// mix is the 64-bit finalizer of MurmurHash3. It makes the scores of one host
// for different duties independent.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
