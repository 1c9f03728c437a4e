package statesync_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

var _ = Describe("Evacuated failure domains", func() {
	const key = "operator/evacuate/north"
	// expectEvacuated expects that hosts learn of the state of the domain within the bound.
	expectEvacuated := func(hosts []*served, evacuated bool) {
		GinkgoHelper()
		changed := time.Now()
		for _, n := range hosts {
			Eventually(func() bool { return n.View().Evacuated("north") }, max(inForce-time.Since(changed), time.Millisecond)).
				Should(Equal(evacuated), string(n.host))
		}
	}
	// settle starts hosts of which one is the relay of the others.
	settle := func(store *fakeStore, hosts int) (others []*served, relay *served) {
		store.put("operator/policy", "4")
		all := startServed(same(store, hosts)...)
		for _, n := range all {
			Eventually(n.Version).Should(Equal(policy.Version(4)))
			Eventually(func() int { return len(n.View().Hosts()) }, relayWait).Should(Equal(hosts))
		}
		time.Sleep(5 * time.Second)
		relaysOf(all)
		time.Sleep(2 * time.Second)
		relays := relaysOf(all)
		Expect(relays).To(HaveLen(1))
		return slices.DeleteFunc(all, func(n *served) bool { return n == relays[0] }), relays[0]
	}

	// Guards against attempts at a domain of which only the relays have learned that it is evacuated, or back in service, and
	// against a host that relies on a relay which has failed.
	DescribeTable("are known in time to hosts that follow a relay",
		func(change func(relay *served)) {
			store := newFakeStore()
			others, relay := settle(store, 4)
			change(relay)
			store.put(key, "{}")
			expectEvacuated(others, true)
			store.remove(key)
			expectEvacuated(others, false)
		},
		Entry("that is well", func(*served) {}),
		Entry("that fails", func(relay *served) {
			relay.frozen.Store(true)
			relay.stop()
		}),
	)

	// Guards against a host that puts a domain back into service because the store is down, and against one that the store turns
	// away and that learns nothing from its peers.
	It("stay evacuated while the store is down, and reach hosts that it turns away", func() {
		store := newFakeStore()
		store.put("operator/policy", "4")
		alone := store.connection()
		all := startServed(store, alone)
		for _, n := range all {
			Eventually(func() int { return len(n.View().Hosts()) }, relayWait).Should(Equal(2))
		}
		alone.set(func(f *fakeStore) { f.down = true })
		store.put(key, "{}")
		for _, n := range all {
			Eventually(func() bool { return n.View().Evacuated("north") }, inForceUnstable).Should(BeTrue())
		}
		store.set(func(f *fakeStore) { f.down = true })
		for _, n := range all {
			Consistently(func() bool { return n.View().Evacuated("north") }, "2s").Should(BeTrue())
		}
	})

	// Guards against a process whose gate admits attempts right after a restart, in a domain that is evacuated.
	It("are known before a process that starts tells that it knows them", func() {
		store := newFakeStore()
		store.put("operator/policy", "4")
		store.put(key, "")
		peer := startServed(store)[0]
		Eventually(func() bool { return peer.View().Evacuated("north") }).Should(BeTrue())
		down := newFakeStore()
		down.set(func(f *fakeStore) { f.down = true })
		for _, s := range []*fakeStore{store, down} {
			admitted := make(chan bool, 1)
			n := startObserved(s, "new:1", func(_ *policy.Snapshot, v *roster.View) {
				if v.EvacuationKnown() {
					select {
					case admitted <- !v.Evacuated("north"):
					default:
					}
				}
			}, peer.host)
			Eventually(admitted, "5s").Should(Receive(BeFalse()))
			n.stop()
		}
	})

	// Guards against a gate that never admits anything because nobody can tell it that its domain is in service.
	It("are assumed to be none when neither the store nor a peer answers", func() {
		down := newFakeStore()
		down.set(func(f *fakeStore) { f.down = true })
		n := start(down, "a:1", "127.0.0.1:1")
		Eventually(func() bool { return n.View().EvacuationKnown() }, "5s").Should(BeTrue())
		Expect(n.View().EvacuatedDomains()).To(BeEmpty())
	})
})
