package gate_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

var _ = Describe("Gate", func() {
	// Guards against a restarted daemon that uses a target whose leaving the earlier process acknowledged: while the store
	// rejects the host, the record there still says that the target is serving.
	It("uses a restored target only after it has announced itself", func() {
		h := newHarness(respond)
		restarted := h.restart()
		restarted.Restore(h.record(roster.Serving))
		Expect(verdictOf(restarted)).To(Equal(hop.NotRun))
		Expect(h.requests()).To(BeEmpty())
		Expect(restarted.Announce(h.announcement(roster.Serving, 1, 9))).To(Succeed())
		Eventually(func() hop.Verdict { return verdictOf(restarted) }).Should(Equal(hop.Ran))
	})

	// Guards against a restarted daemon that uses a target which has announced its leaving, because of an announcement that
	// was delayed on its way and reached the new process after the record.
	DescribeTable("keeps a target out of use that a restored record says is leaving",
		func(state roster.State) {
			h := newHarness(respond)
			restarted := h.restart()
			restarted.Restore(h.record(state))
			Expect(verdictOf(restarted)).To(Equal(hop.NotRun))
			Expect(restarted.Announce(h.announcement(roster.Serving, 1, 9))).To(Succeed())
			Consistently(func() hop.Verdict { return verdictOf(restarted) }, "200ms").Should(Equal(hop.NotRun))
			Expect(h.requests()).To(BeEmpty())
			Expect(restarted.Announce(h.announcement(roster.Serving, 2, 1))).To(Succeed())
			Eventually(func() hop.Verdict { return verdictOf(restarted) }).Should(Equal(hop.Ran))
		},
		Entry("draining", roster.Draining),
		Entry("gone", roster.Gone),
	)

	// Guards against a target that is in use again after a restart, because an announcement that was delayed on its way
	// reached the new process before the record of the earlier one.
	DescribeTable("a restored record after an announcement",
		func(state roster.State, started int64, want hop.Verdict) {
			h := newHarness(respond)
			restarted := h.restart()
			Expect(restarted.Announce(gate.Announcement{
				Target: roster.TargetIncarnation{ID: "t", StartedMS: 5}, Service: "walks", State: roster.Serving, Slots: 2, Sequence: 3,
			})).To(Succeed())
			Eventually(func() hop.Verdict { return verdictOf(restarted) }).Should(Equal(hop.Ran))
			restarted.Restore(roster.Record{
				Host: h.host, Service: "walks", State: state, Slots: 2, Target: roster.TargetIncarnation{ID: "t", StartedMS: started},
			})
			Expect(verdictOf(restarted)).To(Equal(want))
		},
		Entry("of the same incarnation, draining", roster.Draining, int64(5), hop.NotRun),
		Entry("of the same incarnation, gone", roster.Gone, int64(5), hop.NotRun),
		Entry("of the same incarnation, serving", roster.Serving, int64(5), hop.Ran),
		Entry("of an earlier incarnation", roster.Gone, int64(4), hop.Ran),
		Entry("of a later incarnation", roster.Gone, int64(6), hop.NotRun),
	)
})
