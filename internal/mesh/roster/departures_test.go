package roster_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

var _ = Describe("Departures", func() {
	start := func(id string, startedMS int64) roster.TargetIncarnation {
		return roster.TargetIncarnation{ID: id, StartedMS: startedMS}
	}

	It("holds for one start of a target", func() {
		d := roster.Departures("").With(start("a b:c-1", 50))
		Expect(d.Contains(start("a b:c-1", 50))).To(BeTrue())
		Expect(d.Contains(start("a b:c-1", 49))).To(BeFalse())
		Expect(d.Contains(start("a", 50))).To(BeFalse())
		Expect(d.With(start("a b:c-1", 50))).To(Equal(d))
	})

	// Guards against a late announcement that is taken for a later start than that of a leaving without a start time.
	It("holds for all starts until a time", func() {
		d := roster.Departures("").WithAllUntil("a", 50)
		for startedMS, want := range map[int64]bool{0: true, 49: true, 50: true, 51: false} {
			Expect(d.Contains(start("a", startedMS))).To(Equal(want), "start %d", startedMS)
		}
		Expect(d.Contains(start("b", 1))).To(BeFalse())
	})

	It("keeps the latest entries of both lists", func() {
		d, other := roster.Departures("").With(start("old", 1)), roster.Departures("")
		for i := range int64(8) {
			other = other.With(start(fmt.Sprint("t", i), i))
		}
		d = d.Union(other)
		Expect(d.Contains(start("old", 1))).To(BeFalse())
		Expect(d.Contains(start("t0", 0))).To(BeTrue())
		Expect(strings.Fields(string(d))).To(HaveLen(8))
	})

	It("skips what it cannot read", func() {
		Expect(roster.Departures("x 5 5:%zz -:a 7:a").Contains(start("a", 7))).To(BeTrue())
	})
})
