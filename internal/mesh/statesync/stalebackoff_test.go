package statesync_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

var _ = Describe("The pause after failed questions", func() {
	// Guards against a host that waits as long as in an outage which ended long ago: its relay freezes at a change and the store
	// refuses its calls for a quarter of a second.
	It("is short again once the relay has confirmed the policy", func() {
		shared := newFakeStore()
		shared.put("operator/policy", "4")
		stores := []*fakeStore{shared.connection(), shared.connection()}
		all := startServed(stores...)
		for _, n := range all {
			Eventually(n.Version).Should(Equal(policy.Version(4)))
			Eventually(func() int { return len(n.View().Hosts()) }, relayWait).Should(Equal(len(all)))
		}
		down := func(down bool) {
			for _, s := range stores {
				s.set(func(f *fakeStore) { f.down = down })
			}
		}
		down(true)
		time.Sleep(8 * time.Second)
		down(false)
		time.Sleep(20 * time.Second)
		relaysOf(all)
		time.Sleep(2 * time.Second)
		relays := relaysOf(all)
		Expect(relays).To(HaveLen(1))
		relay := slices.Index(all, relays[0])
		// The relay has just confirmed the policy, so that the other host asks as late as possible.
		before := stores[relay].watchesAt("operator/")
		Eventually(func() int { return stores[relay].watchesAt("operator/") }, "3s", "1ms").Should(BeNumerically(">", before))
		time.Sleep(150 * time.Millisecond)
		all[relay].frozen.Store(true)
		all[relay].stop()
		shared.put("operator/policy", "5")
		changed := time.Now()
		time.Sleep(1150 * time.Millisecond)
		down(true)
		time.Sleep(250 * time.Millisecond)
		down(false)
		Eventually(all[1-relay].Version, max(inForce-time.Since(changed), time.Millisecond), "5ms").Should(Equal(policy.Version(5)))
	})
})
