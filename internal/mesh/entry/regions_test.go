package entry_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

var _ = Describe("Allowed regions", func() {
	// newRegions returns a harness with hosts in two regions and lists of regions for the route and the customer.
	newRegions := func(route, customer policy.Regions) *harness {
		h := newHarness(4)
		var err error
		h.snapshot, err = policy.Build(policy.Document{
			Version: 8, Services: []string{"walks"},
			Routes: []policy.Route{{
				ID: "browse", Host: "trails.example", Prefix: "/browse/", Idempotent: true, MaxAttempts: 3, Regions: route,
				Services: []policy.WeightedService{{Service: "walks", Weight: 1}},
			}},
			Customers: []policy.Customer{{ID: "school", Keys: []string{"school-key"}, Regions: customer}},
		})
		Expect(err).NotTo(HaveOccurred())
		var records []roster.Record
		for i, domain := range []id.FailureDomain{"north", "north", "south", "unknown"} {
			records = append(records, roster.Record{
				Host: id.HostID("h" + string(rune('0'+i))), Domain: domain, Service: "walks", State: roster.Serving, Slots: 5,
			})
		}
		h.chooser.SetView(roster.NewView(records))
		return h
	}
	north, south := policy.OnlyRegions("north region"), policy.OnlyRegions("south region")
	both := policy.OnlyRegions("north region", "south region")

	// Guards against a request, or a body, that leaves the regions in which it may be when all hosts there fail it.
	DescribeTable("hold for each attempt, also when no host there takes the request",
		func(route, customer policy.Regions, want ...id.HostID) {
			h := newRegions(route, customer)
			h.setGates(refuse(link.Reason(slots.Full), 0))
			Expect(h.do(http.MethodPost, "/browse/1", "seats").Code).To(Equal(http.StatusServiceUnavailable))
			hosts := map[id.HostID]bool{}
			for _, sent := range h.attempts() {
				hosts[sent.host] = true
			}
			Expect(hosts).To(HaveLen(len(want)))
			for _, host := range want {
				Expect(hosts).To(HaveKey(host))
			}
		},
		Entry("of the route", north, policy.Regions{}, id.HostID("h0"), id.HostID("h1")),
		Entry("of the customer", policy.Regions{}, south, id.HostID("h2")),
		Entry("of both", both, south, id.HostID("h2")),
		Entry("of both, none left", north, south),
		Entry("an empty list", policy.OnlyRegions(), policy.Regions{}),
		Entry("a region without hosts", policy.OnlyRegions("west region"), policy.Regions{}),
	)

	It("are every region without a list", func() {
		h := newRegions(policy.Regions{}, policy.Regions{})
		Expect(h.do(http.MethodPost, "/browse/1", "seats").Code).To(Equal(http.StatusOK))
	})
})
