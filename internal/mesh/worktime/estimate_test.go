package worktime_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/worktime"
)

var _ = Describe("Estimate", func() {
	It("has no limit while there are too few samples", func() {
		var none *worktime.Estimate
		Expect(none.Known()).To(BeFalse())
		var table worktime.Table
		table.Observe("r", time.Second)
		Expect(table.OverdueAfter("r")).To(BeZero())
		Expect(table.OverdueAfter("other")).To(BeZero())
	})

	It("sets the limit above the usual duration", func() {
		var e worktime.Estimate
		for i := range 50 {
			e.Observe(time.Duration(400+100*(i%3)) * time.Millisecond)
		}
		Expect(e.Mean()).To(BeNumerically("~", 500*time.Millisecond, 60*time.Millisecond))
		Expect(e.OverdueAfter()).To(BeNumerically(">", 600*time.Millisecond))
		Expect(e.OverdueAfter()).To(BeNumerically("<", 1500*time.Millisecond))
	})

	// Guards against a slow target whose slowness becomes the norm within a few runs.
	It("adapts slowly to a sudden change", func() {
		var e worktime.Estimate
		for range 50 {
			e.Observe(500 * time.Millisecond)
		}
		limit := e.OverdueAfter()
		e.Observe(time.Minute)
		Expect(e.OverdueAfter()).To(BeNumerically("<", 3*limit))
	})
})
