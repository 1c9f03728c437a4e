package gate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

var _ = Describe("A process that has just started", func() {
	const started = int64(1_000_000)
	var h *harness
	var restarted *gate.Gate

	BeforeEach(func() {
		h = newHarness(respond)
		Expect(h.announce(roster.Serving, started, 1)).To(Succeed())
		restarted = h.restart()
	})

	// announce passes an announcement of the target to the new process.
	announce := func(state roster.State, startedMS int64, sequence uint64) {
		GinkgoHelper()
		Expect(restarted.Announce(h.announcement(state, startedMS, sequence))).To(Succeed())
	}
	verdict := func() hop.Verdict { return verdictOf(restarted) }
	// interval is the time between two announcements.
	const interval = 1500 * time.Millisecond

	// Guards against the use of a target whose leaving an earlier process acknowledged without a record of it, because an
	// announcement from before arrives late (review/8).
	DescribeTable("does not use a target whose health page does not name it",
		func(healthy string) {
			h.setHealthy(healthy)
			restarted.Restore(serving(h, started))
			announce(roster.Serving, started, 5)
			Consistently(verdict, "200ms").Should(Equal(hop.NotRun))
			h.clock.Leap(interval)
			announce(roster.Serving, started, 6)
			Consistently(verdict, "200ms").Should(Equal(hop.NotRun))
			Expect(h.requests()).To(BeEmpty())
		},
		Entry("answers 503", ""),
		Entry("names another target", "u"),
	)

	It("uses a target at once whose health page names it", func() {
		announce(roster.Serving, started, 5)
		Eventually(verdict).Should(Equal(hop.Ran))
	})

	// Guards against a target that is never used again because its health page is wrong.
	It("uses a target that announces itself steadily", func() {
		h.setHealthy("")
		for sequence := uint64(5); sequence < 7; sequence++ {
			announce(roster.Serving, started, sequence)
			Expect(verdict()).To(Equal(hop.NotRun))
			h.clock.Leap(interval)
		}
		announce(roster.Serving, started, 7)
		Expect(verdict()).To(Equal(hop.Ran))
	})

	// Guards against a few late announcements of a target whose health page says that it leaves, and against one that is wrong for long.
	It("uses a target whose health page says otherwise only after a longer streak", func() {
		h.setUnhealthy("t")
		for sequence := uint64(5); sequence < 10; sequence++ {
			announce(roster.Serving, started, sequence)
			Consistently(verdict, "50ms").Should(Equal(hop.NotRun))
			h.clock.Leap(interval)
		}
		announce(roster.Serving, started, 10)
		Expect(verdict()).To(Equal(hop.Ran))
	})

	// Guards against messages that a cut has held back and that arrive together.
	It("does not use a target because of many announcements at a time or one that is repeated", func() {
		h.setHealthy("")
		for sequence := uint64(5); sequence < 9; sequence++ {
			announce(roster.Serving, started, sequence)
		}
		Consistently(verdict, "100ms").Should(Equal(hop.NotRun))
		other := h.restart()
		for range 4 {
			Expect(other.Announce(h.announcement(roster.Serving, started, 5))).To(Succeed())
			h.clock.Leap(interval)
		}
		Expect(verdictOf(other)).To(Equal(hop.NotRun))
	})

	Context("without its record", func() {
		BeforeEach(func() { restarted = h.restartUnread() })

		// Guards against a late announcement that reaches a process before the record of the leaving.
		It("does not use a target that announces itself steadily", func() {
			h.setHealthy("")
			for sequence := uint64(5); sequence < 10; sequence++ {
				announce(roster.Serving, started, sequence)
				h.clock.Leap(interval)
			}
			Expect(verdict()).To(Equal(hop.NotRun))
			restarted.RecordRead(true)
			Expect(verdict()).To(Equal(hop.Ran))
		})

		// Guards against targets that stay unused for as long as the store is out of reach.
		It("uses a target whose health page names it after a wait", func() {
			announce(roster.Serving, started, 5)
			Consistently(verdict, "200ms").Should(Equal(hop.NotRun))
			h.clock.Leap(2 * time.Second)
			announce(roster.Serving, started, 6)
			Eventually(verdict).Should(Equal(hop.Ran))
		})
	})

	// Guards against targets of new deployments that are used late.
	It("uses a target of a system that starts for the first time at once, unless its host has a record", func() {
		h.setHealthy("")
		for found, want := range map[bool]hop.Verdict{false: hop.Ran, true: hop.NotRun} {
			g := gate.New(h.gate.Config())
			g.SetEvacuation(false)
			g.RecordRead(found)
			Expect(g.Announce(h.announcement(roster.Serving, started, 1))).To(Succeed())
			Expect(verdictOf(g)).To(Equal(want))
		}
	})

	// Guards against a start that is taken for the one that has left.
	DescribeTable("uses a later start at once",
		func(leaving roster.State, id string) {
			announce(roster.Serving, started, 5)
			Eventually(verdict).Should(Equal(hop.Ran))
			announce(leaving, started, 6)
			Expect(verdict()).To(Equal(hop.NotRun))
			h.setHealthy("")
			next := h.announcement(roster.Serving, started+1, 1)
			next.Target.ID = id
			Expect(restarted.Announce(next)).To(Succeed())
			Expect(verdict()).To(Equal(hop.Ran))
		},
		Entry("with the same id after a drain", roster.Draining, "t"),
		Entry("with the same id after a leaving", roster.Gone, "t"),
		Entry("with another id", roster.Gone, "u"),
	)

	// Guards against an evacuation at whose end a target is used that has left meanwhile.
	It("does not use a target that left during an evacuation", func() {
		announce(roster.Serving, started, 5)
		Eventually(verdict).Should(Equal(hop.Ran))
		restarted.SetEvacuation(true)
		announce(roster.Gone, started, 0)
		restarted.SetEvacuation(false)
		announce(roster.Serving, started, 9)
		Expect(verdict()).To(Equal(hop.NotRun))
		announce(roster.Serving, started+1, 1)
		Expect(verdict()).To(Equal(hop.Ran))
	})
})

// serving returns the record of the host with a serving target.
func serving(h *harness, startedMS int64) roster.Record {
	r := h.record(roster.Serving)
	r.Target.StartedMS = startedMS
	return r
}
