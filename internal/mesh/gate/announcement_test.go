package gate_test

import (
	"context"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

var _ = Describe("Gate", func() {
	ctx := context.Background()

	Context("announcements", func() {
		// Guards against attempts that reach a target after its draining was acknowledged.
		It("of a draining target end the admission of new and waiting attempts", func() {
			release := make(chan struct{})
			h := newHarness(respondAfter(release))
			running := make(chan *link.Result, 3)
			for range 3 {
				go func() {
					result, _ := h.sendRemote(ctx, attempt("seats", func(a *link.Attempt) { a.MaxQueueWait = time.Second }))
					running <- result
				}()
			}
			Eventually(h.requests).Should(HaveLen(2))
			Eventually(func() bool { return h.gate.Idle() }).Should(BeFalse())
			time.Sleep(50 * time.Millisecond)
			Expect(h.announce(roster.Draining, 1, 2)).To(Succeed())
			Expect((<-running).Reason).To(Equal(link.Reason(slots.NoTarget)))
			result, _ := h.sendRemote(ctx, attempt("seats"))
			Expect(result.Verdict).To(Equal(hop.NotRun))
			close(release)
			Expect((<-running).Verdict).To(Equal(hop.Ran))
			Expect((<-running).Verdict).To(Equal(hop.Ran))
			Expect(h.requests()).To(HaveLen(2))
		})

		// Guards against a late announcement that brings back a target that is draining or gone, or an earlier
		// incarnation.
		It("that are stale change nothing", func() {
			h := newHarness(respond)
			Expect(h.announce(roster.Draining, 1, 5)).To(Succeed())
			Expect(h.announce(roster.Serving, 1, 4)).To(Succeed())
			Expect(h.announce(roster.Serving, 0, 9)).To(Succeed())
			record, _ := h.gate.Record()
			Expect(record.State).To(Equal(roster.Draining))
			Expect(h.gate.Announce(gate.Announcement{Target: roster.TargetIncarnation{ID: "t"}, State: roster.Gone})).To(Succeed())
			Expect(h.announce(roster.Serving, 1, 6)).To(Succeed())
			record, _ = h.gate.Record()
			Expect(record.State).To(Equal(roster.Gone))
		})

		It("of a new incarnation apply although its sequence starts over", func() {
			h := newHarness(respond)
			Expect(h.announce(roster.Draining, 1, 50)).To(Succeed())
			Expect(h.announce(roster.Serving, 2, 1)).To(Succeed())
			result, _ := h.sendRemote(ctx, attempt("seats"))
			Expect(result.Verdict).To(Equal(hop.Ran))
		})

		DescribeTable("that are invalid are refused",
			func(edit func(*gate.Announcement)) {
				h := newHarness(respond)
				a := gate.Announcement{
					Target: roster.TargetIncarnation{ID: "x", StartedMS: 9}, Service: "walks", State: roster.Serving, Slots: 2, Sequence: 1,
				}
				edit(&a)
				Expect(h.gate.Announce(a)).NotTo(Succeed())
				record, _ := h.gate.Record()
				Expect(record.Target.ID).To(Equal("t"))
			},
			Entry("no id", func(a *gate.Announcement) { a.Target.ID = "" }),
			Entry("another service", func(a *gate.Announcement) { a.Service = "guides" }),
			Entry("no slots", func(a *gate.Announcement) { a.Slots = 0 }),
			Entry("more slots than possible", func(a *gate.Announcement) { a.Slots = math.MaxInt }),
			Entry("a start time in the far future", func(a *gate.Announcement) { a.Target.StartedMS = math.MaxInt64 }),
			Entry("a negative start time", func(a *gate.Announcement) { a.Target.StartedMS = -1 }),
			Entry("an impossible sequence number", func(a *gate.Announcement) { a.Sequence = math.MaxUint64 }),
			Entry("an unknown state", func(a *gate.Announcement) { a.State = "" }),
		)

		// Guards against a target that drains in vain: it started again while its machine's time of day had jumped back, so
		// that its announcements looked like those of an earlier start.
		It("of leaving bind although their start time is earlier", func() {
			h := newHarness(respond)
			Expect(h.announce(roster.Serving, 5000, 9)).To(Succeed())
			Expect(h.announce(roster.Serving, 3000, 1)).To(Succeed())
			result, _ := h.sendRemote(ctx, attempt("seats"))
			Expect(result.Verdict).To(Equal(hop.Ran))
			Expect(h.announce(roster.Draining, 3000, 2)).To(Succeed())
			result, _ = h.sendRemote(ctx, attempt("seats"))
			Expect(result.Verdict).To(Equal(hop.NotRun))
			Expect(h.requests()).To(HaveLen(1))
		})

		// Guards against late messages of an earlier start that end the use of the present one for good.
		It("of leaving of an earlier start are undone by the present one", func() {
			h := newHarness(respond)
			Expect(h.announce(roster.Serving, 5000, 9)).To(Succeed())
			Expect(h.announce(roster.Draining, 3000, 50)).To(Succeed())
			Expect(h.announce(roster.Serving, 5000, 8)).To(Succeed())
			result, _ := h.sendRemote(ctx, attempt("seats"))
			Expect(result.Verdict).To(Equal(hop.NotRun))
			Expect(h.announce(roster.Serving, 5000, 10)).To(Succeed())
			result, _ = h.sendRemote(ctx, attempt("seats"))
			Expect(result.Verdict).To(Equal(hop.Ran))
		})

		// Guards against a target that is never used again after it started with an earlier start time, and against late
		// messages of an earlier start that bring it back while the present one leaves.
		It("of a start with an earlier start time count once only it announces itself", func() {
			h := newHarness(respond)
			Expect(h.announce(roster.Serving, 5000, 9)).To(Succeed())
			Expect(h.announce(roster.Draining, 5000, 10)).To(Succeed())
			for sequence := uint64(40); sequence < 50; sequence += 2 {
				Expect(h.announce(roster.Serving, 3000, sequence)).To(Succeed())
				Expect(h.announce(roster.Serving, 3000, sequence)).To(Succeed())
				h.clock.Leap(1500 * time.Millisecond)
				Expect(h.announce(roster.Draining, 5000, sequence)).To(Succeed())
			}
			result, _ := h.sendRemote(ctx, attempt("seats"))
			Expect(result.Verdict).To(Equal(hop.NotRun))
			for sequence := uint64(1); sequence < 4; sequence++ {
				Expect(h.announce(roster.Serving, 3000, sequence)).To(Succeed())
				h.clock.Leap(1500 * time.Millisecond)
			}
			result, _ = h.sendRemote(ctx, attempt("seats"))
			Expect(result.Verdict).To(Equal(hop.Ran))
		})

		It("are published when they change something", func() {
			h := newHarness(respond)
			Expect(h.announce(roster.Serving, 1, 2)).To(Succeed())
			Expect(h.announce(roster.Draining, 1, 3)).To(Succeed())
			h.mu.Lock()
			defer h.mu.Unlock()
			Expect(h.published).To(HaveLen(2))
		})
	})
})
