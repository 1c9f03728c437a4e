package e2e_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

const (
	firstChangeSeed = 4901
	// firstChangeTime is shorter than the fence after which withheld shares come into force.
	firstChangeTime = 6 * time.Second
)

var _ = Describe("A fleet whose hosts and customers come with one change", func() {
	// Guards against homes that withhold the shares of customers that are new,
	// which refuses customers far below their rate with "rate-exceeded".
	It("refuses no customer below its rate", func() {
		if randomDuration() > 0 {
			Skip("only the randomised run was asked for")
		}
		f := &fleet{oneChange: true}
		DeferCleanup(func() { f.close(CurrentSpecReport().Failed()) })
		f.start()
		customer := lookUps()
		customer.RatePerSecond = largeRate * 3 / 4
		everywhere := f.traffic(firstChangeSeed, f.hosts, customer)
		time.Sleep(firstChangeTime)
		history := everywhere.check()
		Expect(load.Summarize(history).Customers[0].WrongfulRefusals).To(BeZero())
	})
})
