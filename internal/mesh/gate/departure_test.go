package gate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

var _ = Describe("A leaving", func() {
	const started = int64(1_000_000)
	leaves := func(id string) gate.Announcement {
		return gate.Announcement{Target: roster.TargetIncarnation{ID: id}, State: roster.Gone}
	}

	// Guards against a process that acknowledges the leaving of a target of which it knows nothing, and takes the target's late
	// announcement, or the record from before, for a later start (review/7).
	It("without a start time is not undone by what the target said before", func() {
		h := newHarness(respond)
		restarted := h.restart()
		Expect(restarted.Announce(leaves("t"))).To(Succeed())
		for sequence := uint64(1); sequence < 5; sequence++ {
			Expect(restarted.Announce(h.announcement(roster.Serving, started, sequence))).To(Succeed())
			h.clock.Leap(1500 * time.Millisecond)
			Expect(verdictOf(restarted)).To(Equal(hop.NotRun))
		}
		serving := h.record(roster.Serving)
		serving.Target.StartedMS = started
		restarted.Restore(serving)
		Expect(restarted.Announce(h.announcement(roster.Serving, started, 9))).To(Succeed())
		Expect(verdictOf(restarted)).To(Equal(hop.NotRun))
		Expect(restarted.Announce(h.announcement(roster.Serving, time.Now().UnixMilli()+1, 1))).To(Succeed())
		Eventually(func() hop.Verdict { return verdictOf(restarted) }).Should(Equal(hop.Ran))
	})

	// Guards against a target that is used after its leaving because the leaving overtook its first announcement.
	It("of a target that has not announced itself yet is not undone by its announcement", func() {
		h := newHarness(respond)
		Expect(h.gate.Announce(leaves("u"))).To(Succeed())
		Expect(verdictOf(h.gate)).To(Equal(hop.Ran))
		late := h.announcement(roster.Serving, started, 1)
		late.Target.ID = "u"
		Expect(h.gate.Announce(late)).To(Succeed())
		record, _ := h.gate.Record()
		Expect(record.Target.ID).To(Equal("t"))
		Expect(record.Departed.Contains(late.Target)).To(BeTrue())
	})

	// Guards against a predecessor that has left and takes the place of its successor by several late announcements.
	It("of an earlier start is not undone by late announcements in a row", func() {
		h := newHarness(respond)
		Expect(h.announce(roster.Draining, started, 5)).To(Succeed())
		Expect(h.announce(roster.Serving, started+50, 1)).To(Succeed())
		Expect(verdictOf(h.gate)).To(Equal(hop.Ran))
		for sequence := uint64(1); sequence < 5; sequence++ {
			Expect(h.announce(roster.Serving, started, sequence)).To(Succeed())
			h.clock.Leap(1500 * time.Millisecond)
		}
		record, _ := h.gate.Record()
		Expect(record.Target.StartedMS).To(Equal(started + 50))
	})

	// Guards against a leaving that the next process does not learn, because the record tells of a later target.
	It("of an earlier target stays in the record and is restored", func() {
		h := newHarness(respond)
		Expect(h.announce(roster.Draining, started, 5)).To(Succeed())
		Expect(h.announce(roster.Serving, started+50, 1)).To(Succeed())
		record, _ := h.gate.Record()
		Expect(record.State).To(Equal(roster.Serving))
		restarted := h.restart()
		Expect(restarted.Announce(h.announcement(roster.Serving, started, 9))).To(Succeed())
		restarted.Restore(record)
		Expect(verdictOf(restarted)).To(Equal(hop.NotRun))
		Expect(restarted.Announce(h.announcement(roster.Serving, started+50, 2))).To(Succeed())
		Eventually(func() hop.Verdict { return verdictOf(restarted) }).Should(Equal(hop.Ran))
	})
})
