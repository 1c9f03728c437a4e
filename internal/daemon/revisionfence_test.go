package daemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

var _ = Describe("revisionFence", func() {
	var fence *revisionFence

	BeforeEach(func() {
		fence = &revisionFence{}
		fence.setRoster(ownership.NewRoster(1, 0, []ownership.Member{{Host: "a"}, {Host: "b"}, {Host: "c"}}))
	})

	// Guards against a home that grants by a new split of a limit while another home still grants
	// by the old one.
	It("settles a revision only after a majority and the fence", func() {
		at := clock.Time(0)
		fence.acknowledge("a", 5, at)
		Expect(fence.isSettled(5, at.Add(2*ownership.FenceDuration))).To(BeFalse())
		fence.acknowledge("b", 5, at)
		Expect(fence.isSettled(5, at.Add(ownership.FenceDuration-1))).To(BeFalse())
		Expect(fence.isSettled(5, at.Add(ownership.FenceDuration))).To(BeTrue())
		Expect(fence.isSettled(6, at.Add(ownership.FenceDuration))).To(BeFalse())
	})

	// Guards against an acknowledgement by a host that is not on the roster.
	It("ignores acknowledgements by hosts that are not on the roster", func() {
		fence.acknowledge("a", 5, 0)
		fence.acknowledge("x", 5, 0)
		Expect(fence.isSettled(5, clock.Time(3*ownership.FenceDuration))).To(BeFalse())
	})

	It("settles older revisions together with a newer one", func() {
		fence.acknowledge("a", 5, 0)
		fence.acknowledge("b", 7, 0)
		Expect(fence.isSettled(4, clock.Time(ownership.FenceDuration))).To(BeTrue())
		Expect(fence.isSettled(5, clock.Time(ownership.FenceDuration))).To(BeTrue())
		Expect(fence.isSettled(6, clock.Time(ownership.FenceDuration))).To(BeFalse())
	})
})
