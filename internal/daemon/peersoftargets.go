package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// percent converts a percentage to a part.
const percent = 100

// peersOf returns what the records of other hosts say about the targets of each
// service. Hosts that this daemon suspects are left out.
func peersOf(t *membership.Table, self id.HostID, now clock.Time) map[id.ServiceName][]ejection.Peer {
	peers := make(map[id.ServiceName][]ejection.Peer)
	for _, record := range t.Records() {
		if record.Host == self || t.Suspected(record.Host, now) {
			continue
		}
		for _, target := range record.Targets {
			if !isInService(target.State) {
				continue
			}
			peers[target.Service] = append(peers[target.Service], ejection.Peer{
				Target:    id.TargetID{Host: record.Host, Name: target.Name},
				Latency:   target.Latency.Duration(),
				ErrorRate: float64(target.ErrorPercent) / percent,
				Bad:       target.Suspected || target.State != membership.TargetServing,
			})
		}
	}
	return peers
}
