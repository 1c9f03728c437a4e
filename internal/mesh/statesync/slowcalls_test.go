package statesync_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/statesync"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// slowStore answers watches after a delay.
type slowStore struct {
	*fakeStore
	delay  atomic.Int64
	policy atomic.Int64
}

// Watch implements platform.Feed. It counts the watches of the policy, those that are given up during the delay, too.
func (s *slowStore) Watch(ctx context.Context, prefix string, since platform.Revision, wait time.Duration) (platform.Rows, error) {
	if prefix == "operator/" {
		s.policy.Add(1)
	}
	select {
	case <-time.After(time.Duration(s.delay.Load())):
	case <-ctx.Done():
		return platform.Rows{}, &platform.NotDoneError{Step: "watch", Err: ctx.Err()}
	}
	return s.fakeStore.Watch(ctx, prefix, since, wait)
}

var _ = Describe("A slow store", func() {
	// Guards against calls that grow with the number of hosts while the store is slow: the relay confirms the policy later
	// than askShare, so that each host asks, two or three times at once.
	It("is not asked by each host that follows a relay", func() {
		const hosts = 24
		store := &slowStore{fakeStore: newFakeStore()}
		store.put("operator/policy", "4")
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		for i := range hosts {
			var s *statesync.Syncer
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.ServeHTTP(w, r) }))
			host := id.HostID(strings.TrimPrefix("http://"+server.Listener.Addr().String(), "http://"))
			s = statesync.New(statesync.Config{
				Self: host, Domain: "north", Store: store,
				Keys:   statesync.Keys{PolicyPrefix: "operator/", PolicyKey: "operator/policy", HostPrefix: "hosts/"},
				Decode: decode, PolicyBound: func() time.Duration { return inForce }, Seeds: func() []id.HostID { return nil },
				OnChange: func(*policy.Snapshot, *roster.View) {}, OnRestored: func(roster.Record) {},
				Log: zerolog.Nop(), Metrics: &countingMetrics{},
			})
			server.Start()
			DeferCleanup(func() {
				server.CloseClientConnections()
				server.Close()
			})
			go func() { _ = s.Run(ctx) }()
			s.Publish(record(host, roster.Serving, int64(i+1)))
		}
		time.Sleep(12 * time.Second)
		store.delay.Store(int64(300 * time.Millisecond))
		time.Sleep(2 * time.Second)
		before := store.policy.Load()
		time.Sleep(10 * time.Second)
		// Before relays were asked by age, 24 hosts made 30 calls in this time.
		Expect(store.policy.Load() - before).To(BeNumerically("<=", 2*hosts))
	})
})
