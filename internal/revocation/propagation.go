package revocation

import "buckthornlatch.example/buckthornlatch/internal/id"

// Propagation tracks which hosts hold every record of this daemon's set. It is
// not safe for concurrent use.
type Propagation struct {
	digest  Digest
	holders map[id.HostID]struct{}
}

// Observe records the digest that a host reported, together with the current
// digest of this daemon's set. Only equal digests count: a host with a different
// digest may lack some of this daemon's records. After both sets have merged,
// the digests are equal.
func (p *Propagation) Observe(host id.HostID, reported, own Digest) {
	if own != p.digest || p.holders == nil {
		p.digest = own
		p.holders = map[id.HostID]struct{}{}
	}
	if reported == own {
		p.holders[host] = struct{}{}
	}
}

// InForce reports whether more than half of the roster's hosts hold the set with
// the digest own. self counts as a holder if it is on the roster.
func (p *Propagation) InForce(own Digest, self id.HostID, roster []id.HostID) bool {
	if own == (Digest{}) {
		return true
	}
	count := 0
	for _, host := range roster {
		_, heard := p.holders[host]
		if host == self || heard && own == p.digest {
			count++
		}
	}
	return 2*count > len(roster)
}
