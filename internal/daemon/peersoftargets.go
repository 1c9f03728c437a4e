package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// percent is the divisor that converts a percentage to a fraction.
const percent = 100

// peerTargets returns the published health of other hosts' targets that are in service, by
// service. Hosts that this daemon suspects are left out.
func peerTargets(t *membership.Table, self id.HostID, now clock.Time) map[id.ServiceName][]ejection.Peer {
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
				Unhealthy: target.Suspected || target.State != membership.TargetServing,
			})
		}
	}
	return peers
}
