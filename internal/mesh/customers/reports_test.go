package customers_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/customers"
)

var _ = Describe("Reports", func() {
	// Guards against counting the same work twice, since each report contains the work of the earlier ones.
	It("adds up the latest report of each entry", func() {
		var r customers.Reports
		now := clock.Time(time.Hour)
		r.Hear(now, "school", "a", 3*time.Second)
		r.Hear(now, "school", "b", 2*time.Second)
		r.Hear(now, "school", "a", 4*time.Second)
		Expect(r.Of(now, "school")).To(BeNumerically("~", 6, 0.01))
		Expect(r.Of(now, "family")).To(BeZero())
	})

	// Guards against holding work of the past, or of an entry that is gone, against a customer.
	It("lets reports decay and expire", func() {
		var r customers.Reports
		now := clock.Time(time.Hour)
		r.Hear(now, "school", "a", 8*time.Second)
		now = now.Add(5 * time.Second)
		Expect(r.Of(now, "school")).To(BeNumerically("~", 4, 0.01))
		now = now.Add(5 * time.Second)
		Expect(r.Of(now, "school")).To(BeZero())
		r.Hear(now, "school", "b", time.Second)
		Expect(r.Of(now, "school")).To(BeNumerically("~", 1, 0.01))
	})

	// Guards against memory that grows with the customers or entries that are heard of.
	It("forgets customers and entries at a bound and keeps the latest", func() {
		var r customers.Reports
		now := clock.Time(time.Hour)
		for i := range 3000 {
			r.Hear(now, id.CustomerID(strconv.Itoa(i)), "a", time.Second)
		}
		Expect(r.Of(now, "2999")).To(BeNumerically("~", 1, 0.01))
		for i := range 200 {
			r.Hear(now, "2999", customers.Reporter(strconv.Itoa(i)), time.Second)
		}
		Expect(r.Of(now, "2999")).To(BeNumerically("~", 64, 0.01))
	})
})
