package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// rosterOf returns the roster of a snapshot.
func rosterOf(snapshot *catalogue.Snapshot) ownership.Roster {
	var members []ownership.Member
	for _, host := range snapshot.Roster() {
		members = append(members, ownership.Member{Host: host.ID, FailureDomain: host.FailureDomain})
	}
	last, previous := snapshot.RosterRevisions()
	return ownership.NewRoster(last, previous, members)
}
