package statesync_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

var _ = Describe("Syncer", func() {
	Context("own record", func() {
		It("is seen by other hosts", func() {
			store := newFakeStore()
			a, b := start(store, "a:1"), start(store, "b:1")
			a.Publish(record("a:1", roster.Serving, 1))
			Eventually(func() bool { _, known := b.View().Find("a:1"); return known }, rosterWait).Should(BeTrue())
			a.Publish(record("a:1", roster.Draining, 1))
			Eventually(func() roster.State { r, _ := b.View().Find("a:1"); return r.State }, rosterWait).Should(Equal(roster.Draining))
			a.Publish(record("a:1", roster.Gone, 1))
			Eventually(func() roster.State { r, _ := b.View().Find("a:1"); return r.State }, rosterWait).Should(Equal(roster.Gone))
		})

		// Guards against writing a record forever, or giving up on it, when the response to the write is lost.
		It("is published although the response to the write was lost", func() {
			store := newFakeStore()
			a := start(store, "a:1")
			store.set(func(f *fakeStore) { f.dropResponses = true })
			done := a.Publish(record("a:1", roster.Serving, 1))
			Eventually(done, "2s").Should(BeClosed())
		})

		// Guards against a restarted process that uses a target which has announced that it is draining.
		It("is restored by the next process of the host", func() {
			store := newFakeStore()
			first := start(store, "a:1")
			Eventually(first.Publish(record("a:1", roster.Draining, 3))).Should(BeClosed())
			first.stop()
			second := start(store, "a:1")
			Eventually(func() []roster.Record {
				second.mu.Lock()
				defer second.mu.Unlock()
				return second.restored
			}).Should(Equal([]roster.Record{record("a:1", roster.Draining, 3)}))
		})

		// Guards against a target whose leaving is acknowledged before the store holds it, because the host published
		// something else meanwhile: after a restart the target would be used again.
		It("is awaited although a later one is published meanwhile", func() {
			store := newFakeStore()
			a := start(store, "a:1")
			Eventually(a.Publish(record("a:1", roster.Serving, 1))).Should(BeClosed())
			store.set(func(f *fakeStore) { f.down = true })
			leaving := a.Publish(record("a:1", roster.Draining, 1))
			later := record("a:1", roster.Draining, 1)
			later.Suspects = "evidence"
			a.Publish(later)
			Consistently(leaving, "300ms").ShouldNot(BeClosed())
			store.set(func(f *fakeStore) { f.down = false })
			Eventually(leaving, "4s").Should(BeClosed())
		})

		// Guards against a host that forgets at its stop that its target has left.
		It("of a target that is gone stays in the store when the process ends", func() {
			store := newFakeStore()
			first := start(store, "a:1")
			Eventually(first.Publish(record("a:1", roster.Gone, 1))).Should(BeClosed())
			first.stop()
			second := start(store, "a:1")
			Eventually(func() []roster.Record {
				second.mu.Lock()
				defer second.mu.Unlock()
				return second.restored
			}).Should(Equal([]roster.Record{record("a:1", roster.Gone, 1)}))
		})

		It("is written again when another writer replaced it", func() {
			store := newFakeStore()
			a := start(store, "a:1")
			Eventually(a.Publish(record("a:1", roster.Serving, 1))).Should(BeClosed())
			store.put("hosts/a:1", `{"host":"a:1","service":"other"}`)
			Eventually(func() string {
				rows, err := store.Scan(context.Background(), "hosts/", "", 10)
				if err != nil || len(rows.Rows) == 0 {
					return ""
				}
				return string(rows.Rows[0].Value)
			}, "2s").Should(ContainSubstring("walks"))
		})

		// Guards against a host that others no longer find after an odd entry took the place of its record.
		It("is written again when another writer left something unreadable in its place", func() {
			store := newFakeStore()
			a := start(store, "a:1")
			Eventually(a.Publish(record("a:1", roster.Serving, 1))).Should(BeClosed())
			store.put("hosts/a:1", "{")
			Eventually(func() string {
				rows, err := store.Scan(context.Background(), "hosts/", "", 10)
				if err != nil || len(rows.Rows) == 0 {
					return ""
				}
				return string(rows.Rows[0].Value)
			}, "3s").Should(ContainSubstring("walks"))
		})
	})
})
