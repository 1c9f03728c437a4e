package statesync_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

var _ = Describe("A restart while the store is unreachable", func() {
	// Guards against a withdrawn key that is accepted again after a restart: of the peers that the new process can ask,
	// some may not have the latest policy themselves.
	It("starts with the newest policy that peers have", func() {
		store := newFakeStore()
		store.put("operator/policy", "4")
		cut := store.connection()
		all := startServed(cut, store)
		behind, current := all[0], all[1]
		for _, n := range all {
			Eventually(n.Version).Should(Equal(policy.Version(4)))
		}
		cut.set(func(f *fakeStore) { f.down = true })
		// A host without a record is not polled, so that it stays behind.
		behind.stop()
		store.put("operator/policy", "5")
		Eventually(current.Version, inForce).Should(Equal(policy.Version(5)))
		down := newFakeStore()
		down.set(func(f *fakeStore) { f.down = true })
		for range 12 {
			var first policy.Version
			restarted := startObserved(down, "new:1", func(p *policy.Snapshot, _ *roster.View) {
				if p != nil && first == 0 {
					first = p.Version()
				}
			}, behind.host, current.host)
			Eventually(restarted.Version).ShouldNot(BeZero())
			restarted.stop()
			Expect(first).To(Equal(policy.Version(5)))
		}
	})
})
