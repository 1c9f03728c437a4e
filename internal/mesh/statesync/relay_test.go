package statesync_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/statesync"
)

// relayWait bounds the time until all hosts of a failure domain know a change: a pause between two watches of the relay,
// one between two polls, and the time to notice that a relay has failed.
const relayWait = 8 * time.Second

// served is a syncer that other hosts can reach.
type served struct {
	*node
	host id.HostID
	// polls counts the polls by other hosts. While frozen is set, the host accepts connections and does not answer.
	polls  atomic.Int64
	frozen atomic.Bool
	server *httptest.Server
}

// startServed starts a syncer for each store and publishes its record.
func startServed(stores ...*fakeStore) []*served {
	var all []*served
	for _, store := range stores {
		s := &served{}
		s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == statesync.RosterPath {
				s.polls.Add(1)
			}
			if s.frozen.Load() {
				<-r.Context().Done()
				return
			}
			s.ServeHTTP(w, r)
		}))
		s.host = id.HostID(strings.TrimPrefix(s.server.URL, "http://"))
		s.node = start(store, s.host)
		DeferCleanup(func() {
			s.server.CloseClientConnections()
			s.server.Close()
		})
		s.Publish(record(s.host, roster.Serving, 1))
		all = append(all, s)
	}
	return all
}

// same returns n references to one store.
func same(store *fakeStore, n int) []*fakeStore {
	stores := make([]*fakeStore, n)
	for i := range stores {
		stores[i] = store
	}
	return stores
}

// relaysOf returns the hosts that were polled since the last call.
func relaysOf(all []*served) []*served {
	var polled []*served
	for _, s := range all {
		if s.polls.Swap(0) > 0 {
			polled = append(polled, s)
		}
	}
	return polled
}

// expectRelays expects the relays of a failure domain. The hosts choose between two by their names, so that few hosts may
// all choose the same one: six do so in 1 of 32 cases.
func expectRelays(relays []*served) {
	GinkgoHelper()
	Expect(relays).NotTo(BeEmpty())
	Expect(len(relays)).To(BeNumerically("<=", 2))
}

// expectKnown waits until all hosts know a record with the number of slots.
func expectKnown(all []*served, host id.HostID, slots int) {
	GinkgoHelper()
	for _, s := range all {
		Eventually(func() int { r, _ := s.View().Find(host); return r.Slots }, relayWait).Should(Equal(slots), string(s.host))
	}
}

// putSlots writes the record of a host that does not run.
func putSlots(store *fakeStore, host string, slots int) {
	store.put("hosts/"+host, fmt.Sprintf(`{"host":%q,"domain":"south","service":"walks","state":"serving","slots":%d}`, host, slots))
}

var _ = Describe("Relayed roster", func() {
	// settle waits until the hosts know each other and have polled.
	settle := func(store *fakeStore, all []*served) {
		for _, s := range all {
			Eventually(func() int { return len(s.View().Hosts()) }, relayWait).Should(Equal(len(all)))
		}
		// Hosts that were polled before the records were complete have been left alone for long enough by then.
		time.Sleep(5 * time.Second)
		relaysOf(all)
		time.Sleep(2 * time.Second)
	}

	// Guards against calls to the store that grow with the number of hosts: on the large deployment each of 236 hosts
	// watched each change of the roster, and the calls cost up to .109 of .329.
	It("is watched in the store by two hosts of a failure domain", func() {
		store := newFakeStore()
		all := startServed(same(store, 10)...)
		settle(store, all)
		expectRelays(relaysOf(all))
		before := store.watchesAt("hosts/")
		for i := range 4 {
			putSlots(store, "x:1", 5+i)
			expectKnown(all, "x:1", 5+i)
		}
		Expect(store.watchesAt("hosts/") - before).To(BeNumerically("<=", 2*(4+1)))
		// A deleted row is relayed, too.
		Expect(all[0].DeleteRecord(GinkgoT().Context(), "x:1")).To(Succeed())
		expectKnown(all, "x:1", 0)
	})

	// Guards against a host that left and came back between two polls, and that the others remove for good.
	It("keeps a record that was deleted and written again", func() {
		store := newFakeStore()
		all := startServed(same(store, 6)...)
		settle(store, all)
		putSlots(store, "x:1", 5)
		expectKnown(all, "x:1", 5)
		store.remove("hosts/x:1")
		putSlots(store, "x:1", 6)
		expectKnown(all, "x:1", 6)
		for _, s := range all {
			Consistently(func() int { r, _ := s.View().Find("x:1"); return r.Slots }, "500ms").Should(Equal(6))
		}
	})

	DescribeTable("is followed by all hosts when both relays fail",
		func(fail func(*served)) {
			store := newFakeStore()
			all := startServed(same(store, 8)...)
			settle(store, all)
			relays := relaysOf(all)
			expectRelays(relays)
			var others []*served
			for _, s := range all {
				if !slices.Contains(relays, s) {
					others = append(others, s)
				}
			}
			for _, s := range relays {
				fail(s)
			}
			putSlots(store, "x:1", 7)
			expectKnown(others, "x:1", 7)
			// The next ones have taken their place; not all hosts watch the store.
			time.Sleep(2 * time.Second)
			before := store.watchesAt("hosts/")
			putSlots(store, "x:1", 8)
			expectKnown(others, "x:1", 8)
			Expect(store.watchesAt("hosts/") - before).To(BeNumerically("<=", 6))
		},
		Entry("killed", func(s *served) {
			s.stop()
			s.server.CloseClientConnections()
			s.server.Close()
		}),
		Entry("frozen", func(s *served) { s.frozen.Store(true) }),
	)

	// Guards against a host that follows a relay which the store turns away, although the store serves the host itself.
	It("is not taken from a relay that the store turns away", func() {
		store := newFakeStore()
		// Each host has a connection to the store of its own.
		var stores []*fakeStore
		for range 8 {
			stores = append(stores, store.connection())
		}
		all := startServed(stores...)
		settle(store, all)
		relays := relaysOf(all)
		expectRelays(relays)
		for i, s := range all {
			if slices.Contains(relays, s) {
				stores[i].set(func(f *fakeStore) { f.down = true })
			}
		}
		time.Sleep(time.Second)
		putSlots(store, "x:1", 7)
		for i, s := range all {
			if !stores[i].down {
				Eventually(func() int { r, _ := s.View().Find("x:1"); return r.Slots }, 2*relayWait).Should(Equal(7))
			}
		}
	})
})
