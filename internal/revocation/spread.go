package revocation

import "buckthornlatch.example/buckthornlatch/internal/id"

// Spread tracks which hosts hold everything that this daemon's set holds. It
// is not safe for concurrent use.
type Spread struct {
	digest Digest
	hosts  map[id.HostID]struct{}
}

// Heard notes the digest that a host of the roster reported, beside this
// daemon's own. Only equality counts: a host with other records may lack some
// of ours, and becomes equal after both have merged.
func (s *Spread) Heard(host id.HostID, reported, own Digest) {
	if own != s.digest || s.hosts == nil {
		s.digest = own
		s.hosts = map[id.HostID]struct{}{}
	}
	if reported == own {
		s.hosts[host] = struct{}{}
	}
}

// InForce reports whether more than half of the roster holds the set with the
// own digest. The own host counts if it is on the roster.
func (s *Spread) InForce(own Digest, self id.HostID, roster []id.HostID) bool {
	if own == (Digest{}) {
		return true
	}
	holders := 0
	for _, host := range roster {
		_, heard := s.hosts[host]
		if host == self || heard && own == s.digest {
			holders++
		}
	}
	return 2*holders > len(roster)
}
