package statesync_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/statesync"
)

var _ = Describe("A host that follows a relay", func() {
	// Guards against hosts that poll peers for their whole state long after an outage, because only an own question ends it
	// and the relay spares them that.
	It("stops polling peers once the store is back", func() {
		store := newFakeStore()
		store.put("operator/policy", "4")
		var states atomic.Int64
		var all []*node
		for i := range 6 {
			var n *node
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == statesync.StatePath {
					states.Add(1)
				}
				n.ServeHTTP(w, r)
			}))
			host := id.HostID(strings.TrimPrefix(fmt.Sprintf("http://%s", server.Listener.Addr()), "http://"))
			n = start(store, host)
			server.Start()
			DeferCleanup(func() {
				server.CloseClientConnections()
				server.Close()
			})
			n.Publish(record(host, roster.Serving, int64(i+1)))
			all = append(all, n)
		}
		for _, n := range all {
			Eventually(n.Version).Should(Equal(policy.Version(4)))
			Eventually(func() int { return len(n.View().Hosts()) }, relayWait).Should(Equal(6))
		}
		time.Sleep(7 * time.Second)
		states.Store(0)
		time.Sleep(5 * time.Second)
		Expect(states.Load()).To(BeZero(), "before the outage")
		store.set(func(f *fakeStore) { f.down = true })
		time.Sleep(4 * time.Second)
		store.set(func(f *fakeStore) { f.down = false })
		time.Sleep(5 * time.Second)
		states.Store(0)
		time.Sleep(10 * time.Second)
		Expect(states.Load()).To(BeZero(), "5 to 15 s after the outage")
	})
})
