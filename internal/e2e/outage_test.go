package e2e_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/emulator/platform"
)

const (
	outageSeed = 4501
	// outageTime is longer than every bound that a platform read keeps.
	outageTime = 20 * time.Second
)

// outageCase takes the platform away, replaces a daemon and serves on.
func outageCase(f *fleet) {
	replaced := f.hosts[0]
	kept := f.others(replaced)
	elsewhere := f.mixed(outageSeed, kept)
	known, err := kept[0].status()
	Expect(err).NotTo(HaveOccurred())

	down := time.Now()
	f.setPlatform(platform.Faults{Down: true})
	time.Sleep(2 * time.Second) // every daemon meets the outage
	replaced.killDaemon()
	f.startDaemon(replaced)
	started := time.Now()
	c := newCaller(f.keys[largeCustomer], callerTimeout)
	Eventually(func() error {
		s, err := replaced.status()
		if err != nil {
			return err
		}
		if r := c.get(replaced); !s.Ready || s.Revision < known.Revision || !r.served() {
			return fmt.Errorf("%+v, %v", s, r)
		}
		return nil
	}, 15*time.Second, pollPeriod).Should(Succeed())
	GinkgoWriter.Printf("a daemon started during the outage serves after %v\n", time.Since(started).Round(time.Millisecond))
	s, err := replaced.status()
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Epoch).To(BeZero(), "the slot cannot be registered during the outage")
	everywhere := f.traffic(outageSeed+1, f.hosts, lookUps())

	time.Sleep(time.Until(down.Add(outageTime)))
	end := time.Now()
	for _, h := range f.hosts {
		s, err := h.status()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Ready).To(BeTrue(), "%s: %+v", h.name, s)
	}
	f.setPlatform(platform.Faults{})
	f.awaitReady(hostCount)
	elsewhere.check()
	everywhere.check()
	// Only requests in flight at the lost host may fail at the others.
	elsewhere.expectShare(down, end, 0.97)
	everywhere.expectShare(everywhere.started, end, 0.99)
	Expect(f.watcher.found()).To(BeEmpty(), "revisions that went back")
}
