package ratelimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

var _ = Describe("Assign", func() {
	var (
		d    *duty
		home *ratelimit.Home
		now  clock.Time
	)
	limit := ratelimit.NewLimit(100, 8)
	pass := func(t time.Duration) {
		for end := now.Add(t); now < end; now = now.Add(100 * time.Millisecond) {
			home.Tick(now)
		}
	}
	available := func() int {
		return home.Exchange(now, ratelimit.Request{Customer: "c", Need: 100, Want: 100}).Immediate
	}
	BeforeEach(func() {
		d = &duty{confirmed: true, settled: true}
		home = ratelimit.NewHome(1, d, 0)
		share := ratelimit.NewShare(limit, 0, 4, 1)
		share.First = true
		now = 0
		home.Assign(now, "c", share)
		pass(time.Second)
	})

	// Guards against granting tokens of a share that another home took over while
	// this home was isolated, when the newest share equals the one before.
	It("drops the share of a home that may have missed a split", func() {
		d.confirmed = false
		pass(15 * time.Second)
		d.settled = false
		home.Assign(now, "c", ratelimit.NewShare(limit, 0, 4, 3))
		d.confirmed = true
		pass(time.Second)
		Expect(available()).To(BeZero())
		d.settled = true
		pass(ratelimit.GrantHold)
		Expect(available()).To(BeZero())
		pass(time.Second)
		Expect(available()).To(Equal(2))
	})

	// Guards against a new split that applies beside the old one.
	It("applies only the reductions of a new split at once", func() {
		d.settled = false
		home.Assign(now, "c", ratelimit.NewShare(ratelimit.NewLimit(100, 2), 0, 1, 2))
		home.Assign(now, "c", ratelimit.NewShare(ratelimit.NewLimit(100, 20), 0, 4, 3))
		pass(time.Second)
		Expect(available()).To(Equal(2))
		d.settled = true
		pass(ratelimit.GrantHold + time.Second)
		Expect(available()).To(Equal(5))
	})

	// Guards against shares that do not add up to the limit.
	It("splits limits exactly and monotonically", func() {
		for burst := range 40 {
			limit := ratelimit.NewLimit(float64(burst)*1.234567, burst)
			for homes := 1; homes <= ratelimit.MaxHomes; homes++ {
				var sum ratelimit.Limit
				for i := range homes {
					part := limit.Part(i, homes)
					sum.Rate += part.Rate
					sum.Burst += part.Burst
					larger := ratelimit.NewLimit(float64(burst)*1.234567+0.5, burst+1).Part(i, homes)
					Expect(larger.Rate).To(BeNumerically(">=", part.Rate))
					Expect(larger.Burst).To(BeNumerically(">=", part.Burst))
				}
				Expect(sum).To(Equal(limit))
			}
		}
	})
})
