package statesync_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// Guards against hosts that divide rates among the hosts that they happen to know.
var _ = Describe("A view of the roster", func() {
	It("is partial until the roster was read", func() {
		store := newFakeStore()
		store.put("operator/policy", "4")
		store.put("hosts/b:1", `{"host":"b:1","domain":"north","service":"walks","state":"serving","slots":5,"target":{"id":"t","born":1}}`)
		store.set(func(f *fakeStore) { f.downPrefix = "hosts/" })
		n := start(store, "a:1")
		n.Publish(record("a:1", roster.Serving, 1))
		Eventually(n.Version).Should(Equal(policy.Version(4)))
		Expect(n.View().Hosts()).To(HaveLen(1))
		Consistently(func() bool { return n.View().Whole() }, "500ms").Should(BeFalse())
		store.set(func(f *fakeStore) { f.downPrefix = "" })
		Eventually(func() bool { return n.View().Whole() }, "5s").Should(BeTrue())
		Expect(n.View().Hosts()).To(HaveLen(2))
	})

	It("is whole once a peer has passed on a whole one, and not before", func() {
		up, down := newFakeStore(), newFakeStore()
		up.put("operator/policy", "4")
		down.set(func(f *fakeStore) { f.down = true })
		whole := startServed(up)[0]
		Eventually(func() bool { return whole.View().Whole() }).Should(BeTrue())
		partial := startServed(down)[0]
		first := start(down, "a:1", partial.host)
		Consistently(func() bool { return first.View().Whole() }, "2s").Should(BeFalse())
		second := start(down, "b:1", whole.host)
		Eventually(func() bool { return second.View().Whole() }, "5s").Should(BeTrue())
	})
})
