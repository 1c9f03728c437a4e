package ownership_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// rosterOf returns a roster of n hosts, assigned to the failure domains round-robin.
func rosterOf(n, domains int) ownership.Roster {
	members := make([]ownership.Member, n)
	for i := range members {
		members[i] = ownership.Member{
			Host:          id.HostID(fmt.Sprintf("host-%03d", i)),
			FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		}
	}
	return ownership.NewRoster(1, 0, members)
}

var _ = Describe("Placement", func() {
	// Guards against a failure of one failure domain that takes out more of a duty's homes than necessary.
	It("puts at most ceil(k/domains) homes into one failure domain", func() {
		roster := rosterOf(46, 3)
		domain := map[id.HostID]id.FailureDomain{}
		for _, m := range roster.Members {
			domain[m.Host] = m.FailureDomain
		}
		placement := ownership.NewPlacement(roster)
		for c := range 500 {
			duty := ownership.Duty{Kind: ownership.RateHome, Name: fmt.Sprint("customer-", c)}
			hosts := placement.Homes(duty, 4)
			Expect(hosts).To(HaveLen(4))
			perDomain := map[id.FailureDomain]int{}
			for _, h := range hosts {
				perDomain[domain[h]]++
				Expect(placement.Places(duty, 4, h)).To(BeTrue())
			}
			for _, n := range perDomain {
				Expect(n).To(BeNumerically("<=", 2))
			}
			Expect(placement.Homes(duty, 4)).To(Equal(hosts))
		}
	})

	// Guards against a hash that places far more duties on some hosts than on others.
	It("spreads the duties evenly", func() {
		placement := ownership.NewPlacement(rosterOf(460, 6))
		load := map[id.HostID]int{}
		for c := range 21_000 {
			duty := ownership.Duty{Kind: ownership.RateHome, Name: fmt.Sprint("customer-", c)}
			for _, h := range placement.Homes(duty, 4) {
				load[h]++
			}
		}
		mean := 21_000 * 4 / 460
		Expect(load).To(HaveLen(460))
		for host, n := range load {
			Expect(n).To(BeNumerically("~", mean, mean/2), string(host))
		}
	})

	// Guards against a roster change that moves duties between unaffected hosts.
	It("moves only the duties of a removed host", func() {
		before := rosterOf(46, 2)
		removed := before.Members[7].Host
		after := ownership.NewRoster(2, 1, append(append([]ownership.Member(nil), before.Members[:7]...), before.Members[8:]...))
		old, changed := ownership.NewPlacement(before), ownership.NewPlacement(after)
		for c := range 1000 {
			duty := ownership.Duty{Kind: ownership.PermitHome, Name: fmt.Sprint("service-", c)}
			if home := old.Homes(duty, 1); home[0] != removed {
				Expect(changed.Homes(duty, 1)).To(Equal(home))
			}
		}
	})
})
