package worktime_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
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

	// Guards against memory that grows with each configuration, and against forgetting all routes at the bound.
	It("bounds the routes and keeps nearly all of them", func() {
		var routes worktime.Routes
		name := func(i int) id.RouteID { return id.RouteID(strconv.Itoa(i)) }
		for i := range 6000 {
			routes.Observe(name(i), time.Second)
		}
		kept := 0
		for i := range 6000 {
			if routes.Of(name(i)) != nil {
				kept++
			}
		}
		Expect(kept).To(Equal(4096))
		Expect(routes.Of(name(5999))).NotTo(BeNil())
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
