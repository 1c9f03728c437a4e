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
// homes once, in time proportional to the roster, and keeps them. It is safe
// for concurrent use.
type Placement struct {
	roster  Roster
	hashes  []uint64
	domain  []uint16
	domains int

	mu    sync.RWMutex
	cache map[placementKey]homes
}

// placementKey names a duty by its hash. Two duties with one hash have the same
// scores everywhere, so sharing their entry changes nothing.
type placementKey struct {
	duty uint64
	k    uint8
}

// NewPlacement prepares the placement over a roster of at most 65,535 members.
func NewPlacement(roster Roster) *Placement {
	invariant.Check(len(roster.Members) <= math.MaxUint16, "placement-roster-size",
		"roster has %d members", len(roster.Members))
	p := &Placement{roster: roster, cache: map[placementKey]homes{}}
	numbers := map[id.FailureDomain]uint16{}
	for _, m := range roster.Members {
		n, ok := numbers[m.FailureDomain]
		if !ok {
			n = uint16(len(numbers))
			numbers[m.FailureDomain] = n
		}
		p.hashes = append(p.hashes, murmur3.StringSum64(string(m.Host)))
		p.domain = append(p.domain, n)
	}
	p.domains = len(numbers)
	return p
}

// Roster returns the roster of the placement.
func (p *Placement) Roster() Roster {
	return p.roster
}

// Homes returns the at most k hosts that perform a duty, highest score first,
// with at most ceil(k / failure domains) in one failure domain. k is at most
// MaxHomes. The result is shorter than k when the roster cannot give more.
func (p *Placement) Homes(duty Duty, k int) []id.HostID {
	h := p.lookup(duty, k)
	hosts := make([]id.HostID, h.count)
	for i := range hosts {
		hosts[i] = p.roster.Members[h.member[i]].Host
	}
	return hosts
}

// Places reports whether the host is one of the duty's k homes.
func (p *Placement) Places(duty Duty, k int, host id.HostID) bool {
	h := p.lookup(duty, k)
	for _, m := range h.member[:h.count] {
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
	h = p.compute(key.duty, k)
	p.mu.Lock()
	p.cache[key] = h
	p.mu.Unlock()
	return h
}

// compute ranks the roster for one duty.
func (p *Placement) compute(duty uint64, k int) homes {
	if k == 0 || p.domains == 0 {
		return homes{}
	}
	limit := (k + p.domains - 1) / p.domains
	rankings := make([]ranking, p.domains)
	for i, hash := range p.hashes {
		c := candidate{score: mix(hash ^ duty), member: uint16(i)}
		rankings[p.domain[i]].offer(c, limit)
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
		h.member[h.count] = c.member
		h.count++
	}
	return h
}

// hashDuty returns the hash that scores a duty; its result must be the same in every version of the program.
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
