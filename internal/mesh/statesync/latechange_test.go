package statesync_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

var _ = Describe("A change of the policy", func() {
	// settle starts hosts of one failure domain and waits until their relay confirms the policy.
	settle := func(store *fakeStore, hosts int) (all []*served, relay *served) {
		store.put("operator/policy", "4")
		all = startServed(same(store, hosts)...)
		for _, n := range all {
			Eventually(n.Version).Should(Equal(policy.Version(4)))
			Eventually(func() int { return len(n.View().Hosts()) }, relayWait).Should(Equal(hosts))
		}
		time.Sleep(5 * time.Second)
		relaysOf(all)
		time.Sleep(2 * time.Second)
		relays := relaysOf(all)
		Expect(relays).To(HaveLen(1))
		return all, relays[0]
	}
	// expectInForce changes the policy and expects that the hosts have it in time.
	expectInForce := func(store *fakeStore, hosts []*served) {
		GinkgoHelper()
		store.put("operator/policy", "5")
		changed := time.Now()
		for _, n := range hosts {
			Eventually(n.Version, max(inForce-time.Since(changed), time.Millisecond)).Should(Equal(policy.Version(5)), string(n.host))
		}
	}

	// Guards against requests that run at a service which the policy has left: the relay's watch gets no answer.
	It("is in force in time when the store leaves all open watches unanswered", func() {
		store := newFakeStore()
		all, _ := settle(store, 5)
		// The relay's watch has just begun, so that it fails as late as possible.
		before := store.watchesAt("operator/")
		Eventually(func() int { return store.watchesAt("operator/") }, "3s", "1ms").Should(BeNumerically(">", before))
		store.strand()
		expectInForce(store, all)
	})

	// Guards against a host that waits for the answer to one question alone: its relay has failed, and the store leaves that
	// question open.
	It("is in force in time when the store leaves the first question of a host unanswered", func() {
		store := newFakeStore()
		all, relay := settle(store, 2)
		before := store.watchesAt("operator/")
		Eventually(func() int { return store.watchesAt("operator/") }, "3s", "1ms").Should(BeNumerically(">", before))
		time.Sleep(150 * time.Millisecond)
		relay.frozen.Store(true)
		relay.stop()
		store.put("operator/policy", "5")
		changed := time.Now()
		before = store.watchesAt("operator/")
		store.set(func(f *fakeStore) { f.silent = true })
		Eventually(func() int { return store.watchesAt("operator/") }, "3s", "1ms").Should(BeNumerically(">", before))
		store.strand()
		store.set(func(f *fakeStore) { f.silent = false })
		other := slices.DeleteFunc(all, func(n *served) bool { return n == relay })[0]
		Eventually(other.Version, max(inForce-time.Since(changed), time.Millisecond), "5ms").Should(Equal(policy.Version(5)))
	})

	// Guards against calls that grow with the number of hosts: those that follow a relay need none while it is well, and it
	// makes one each confirmation.
	It("costs calls of the relay alone", func() {
		store := newFakeStore()
		settle(store, 8)
		before := store.watchesAt("operator/")
		time.Sleep(12 * time.Second)
		// Ten confirmations, a watch that ends, and one call more for a phase.
		Expect(store.watchesAt("operator/") - before).To(BeNumerically("<=", 12))
	})

	// Guards against the same fault of a host whose relay fails while its own watch is left unanswered.
	DescribeTable("is in force in time when the relay fails at that moment",
		func(fail func(*served)) {
			store := newFakeStore()
			all, relay := settle(store, 5)
			store.strand()
			// The relay has noticed by then.
			time.Sleep(3 * time.Second)
			fail(relay)
			others := slices.DeleteFunc(all, func(n *served) bool { return n == relay })
			expectInForce(store, others)
		},
		Entry("frozen", func(s *served) { s.frozen.Store(true) }),
		Entry("killed", func(s *served) {
			s.stop()
			s.server.CloseClientConnections()
			s.server.Close()
		}),
	)
})
