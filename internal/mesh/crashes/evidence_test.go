package crashes_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/crashes"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

var _ = Describe("Evidence", func() {
	var a, b, c *crashes.Evidence

	BeforeEach(func() {
		a, b, c = crashes.New("a", 1, clock.NewSystem()), crashes.New("b", 1, clock.NewSystem()), crashes.New("c", 1, clock.NewSystem())
	})

	// exchange merges the records of all hosts into each host's evidence.
	exchange := func() {
		hosts := map[id.HostID]*crashes.Evidence{"a": a, "b": b, "c": c}
		var records []roster.Record
		for host, e := range hosts {
			e.Refresh()
			records = append(records, roster.Record{Host: host, Suspects: e.Published()})
		}
		for _, e := range hosts {
			Expect(e.Merge(roster.NewView(records))).To(Succeed())
		}
	}
	// crash makes a host's target crash while requests are in flight.
	crash := func(e *crashes.Evidence, requests ...string) {
		for _, r := range requests {
			e.Started(r)
		}
		e.Crashed()
	}

	// Guards against a request that crashes the target of every host, and against a quarantine of the requests beside it.
	It("quarantines only the request that was in flight at two crashes", func() {
		crash(a, "poison", "x")
		crash(b, "poison", "y")
		exchange()
		for _, e := range []*crashes.Evidence{a, b, c} {
			Expect(e.Quarantined("poison")).To(BeTrue())
			Expect(e.Quarantined("x")).To(BeFalse())
			Expect(e.Quarantined("y")).To(BeFalse())
		}
	})

	It("does not quarantine a request after one crash", func() {
		crash(a, "x")
		exchange()
		Expect(c.Quarantined("x")).To(BeFalse())
	})

	// Guards against refusing a frequent read forever because it was in flight at two crashes by chance.
	It("clears a request that completes afterwards", func() {
		crash(a, "busy")
		c.Started("busy")
		c.Ended("busy", true)
		crash(b, "busy")
		exchange()
		c.Started("busy")
		c.Ended("busy", true)
		Expect(c.Quarantined("busy")).To(BeFalse())
	})

	// Guards against writing an unchanged record over and over.
	It("publishes only what has changed", func() {
		Expect(a.Refresh()).To(BeFalse())
		crash(a, "x")
		Expect(a.Refresh()).To(BeTrue())
		Expect(a.Refresh()).To(BeFalse())
	})

	It("reports a record that cannot be decoded and merges the others", func() {
		crash(a, "poison")
		crash(b, "poison")
		a.Refresh()
		b.Refresh()
		Expect(c.Merge(roster.NewView([]roster.Record{
			{Host: "a", Suspects: a.Published()}, {Host: "b", Suspects: b.Published()}, {Host: "d", Suspects: "nonsense"},
		}))).To(MatchError(ContainSubstring("d")))
		Expect(c.Quarantined("poison")).To(BeTrue())
	})
})
