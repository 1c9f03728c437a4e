package choose

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// PickByPenalty picks among hosts with a constant penalty for other failure domains, as before package locality.
func (c *Chooser) PickByPenalty(now clock.Time, among []id.HostID) (id.HostID, bool) {
	var hosts []*host
	for _, name := range among {
		hosts = append(hosts, c.hosts[name])
	}
	return c.best(now, hosts, crossDomainPenalty, func(*host) bool { return true })
}
