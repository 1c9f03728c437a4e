package gossip_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// startDaemon runs a service on a loopback port and stops it when the test ends.
func startDaemon(host id.HostID, seeds ...string) (*gossip.Service, string) {
	var handler http.Handler
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
	DeferCleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	service := gossip.New(gossip.Config{
		Membership: membership.Config{
			Self:        host,
			Incarnation: 1,
			Period:      20 * time.Millisecond,
			Addresses:   membership.Addresses{Control: address},
		},
		Seeds:  seeds,
		Scheme: "http",
		Clock:  clock.NewSystem(),
	})
	handler = service.Handler()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		service.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	return service, address
}

// targetsOf returns the targets of a host that are in a service's table.
func targetsOf(s *gossip.Service, host id.HostID) (targets []membership.Target) {
	s.View(func(t *membership.Table) {
		if r := t.Record(host); r != nil {
			targets = r.Targets
		}
	})
	return targets
}

var _ = Describe("Service", func() {
	// Guards against daemons that know a seed address but never learn the targets behind it.
	It("lets three daemons learn each other's targets from one seed address", func() {
		a, address := startDaemon("a")
		b, _ := startDaemon("b", address)
		c, _ := startDaemon("c", address)
		target := membership.Target{Name: "t1", Service: "catalogo", State: membership.TargetServing, Slots: 5}
		b.Update(func(t *membership.Table) {
			t.SetTargets([]membership.Target{target})
			// Heartbeats count as covered only after Confirm; nothing in the test evaluates freshness.
			t.Confirm()
		})

		Eventually(func() []membership.Target { return targetsOf(a, "b") }, "5s").Should(ConsistOf(target))
		Eventually(func() []membership.Target { return targetsOf(c, "b") }, "5s").Should(ConsistOf(target))
		Eventually(func() (covered bool) {
			c.View(func(t *membership.Table) { _, covered = t.CoveredAt("b", 0) })
			return covered
		}, "5s").Should(BeTrue())
	})
})
