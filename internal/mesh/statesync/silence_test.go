package statesync_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// inForce bounds the time until a new policy must be in force while the store answers; inForceUnstable bounds it while the
// store rejects some hosts.
const (
	inForce         = 2 * time.Second
	inForceUnstable = 7 * time.Second
)

// deafen makes the watches of a store miss changes, those that are open, too.
func deafen(store *fakeStore) {
	store.set(func(f *fakeStore) { f.deaf = true })
	// Open watches are woken by this and look for changes once more.
	time.Sleep(200 * time.Millisecond)
}

var _ = Describe("Silence of the store", func() {
	// Guards against a withdrawn key that stays valid for 20 s because the store leaves the watch of one host unanswered.
	It("is no proof that the policy is current", func() {
		store := newFakeStore()
		store.put("operator/policy", "4")
		alone := store.connection()
		all := startServed(store, store, alone)
		for _, n := range all {
			Eventually(n.Version).Should(Equal(policy.Version(4)))
			Eventually(func() int { return len(n.View().Hosts()) }, relayWait).Should(Equal(3))
		}
		alone.set(func(f *fakeStore) { f.silent = true })
		store.put("operator/policy", "5")
		Eventually(all[2].Version, inForceUnstable).Should(Equal(policy.Version(5)))
	})

	// Guards against a policy that counts as confirmed while nothing has confirmed it.
	It("lets the age of the policy grow", func() {
		store := newFakeStore()
		store.put("operator/policy", "4")
		n := start(store, "a:1")
		Eventually(n.Version).Should(Equal(policy.Version(4)))
		store.set(func(f *fakeStore) { f.silent = true })
		Eventually(func() time.Duration { _, age := n.Policy(); return age }, "5s").Should(BeNumerically(">", 3*time.Second))
		store.set(func(f *fakeStore) { f.silent = false })
		Eventually(func() time.Duration { _, age := n.Policy(); return age }, "5s").Should(BeNumerically("<", maxConfirmedAge))
	})

	// Guards against a fleet that keeps an old policy because the store wakes no open watch for a change. Of these hosts
	// two watch the store for all, the others rely on them.
	It("hides a change from no host for long", func() {
		store := newFakeStore()
		store.put("operator/policy", "4")
		all := startServed(same(store, 5)...)
		for _, n := range all {
			Eventually(n.Version).Should(Equal(policy.Version(4)))
			Eventually(func() int { return len(n.View().Hosts()) }, relayWait).Should(Equal(5))
		}
		// Relays are chosen and have confirmed the policy by then.
		time.Sleep(5 * time.Second)
		deafen(store)
		store.put("operator/policy", "5")
		changed := time.Now()
		for _, n := range all {
			Eventually(n.Version, inForce-time.Since(changed)).Should(Equal(policy.Version(5)))
		}
	})

	// Guards against a host that asks nobody for 20 s after its relays have stopped to confirm its policy.
	It("is noticed by a host whose relays have left", func() {
		store := newFakeStore()
		store.put("operator/policy", "4")
		all := startServed(same(store, 5)...)
		for _, n := range all {
			Eventually(func() int { return len(n.View().Hosts()) }, relayWait).Should(Equal(5))
		}
		time.Sleep(5 * time.Second)
		deafen(store)
		for _, n := range all[1:] {
			n.stop()
			n.frozen.Store(true)
		}
		store.put("operator/policy", "5")
		Eventually(all[0].Version, inForceUnstable).Should(Equal(policy.Version(5)))
	})

	// Guards against hosts that do not learn of a new target for 20 s because no watch of the roster is woken.
	It("hides no record for long", func() {
		store := newFakeStore()
		n := start(store, "a:1")
		time.Sleep(rosterWait)
		deafen(store)
		store.put("hosts/b:1", `{"host":"b:1","domain":"north","service":"walks","state":"serving","slots":5,"target":{"id":"t","born":1}}`)
		Eventually(func() bool { _, known := n.View().Find(id.HostID("b:1")); return known }, 2*rosterWait).Should(BeTrue())
		r, _ := n.View().Find("b:1")
		Expect(r.State).To(Equal(roster.Serving))
	})
})
