package grants_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/grants"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// alwaysOnDuty confirms every duty.
type alwaysOnDuty struct{}

func (alwaysOnDuty) Confirmed(clock.Time) bool                   { return true }
func (alwaysOnDuty) Settled(catalogue.Revision, clock.Time) bool { return true }

// atHome places every customer on the host "home".
type atHome struct{ limit ratelimit.Limit }

func (a atHome) Version() uint64                     { return 1 }
func (a atHome) Homes(id.CustomerID) []id.HostID     { return []id.HostID{"home"} }
func (a atHome) Limit(id.CustomerID) ratelimit.Limit { return a.limit }

// peers maps hosts to base URLs.
type peers map[id.HostID]string

func (p peers) BaseURL(host id.HostID) (string, bool) {
	url, ok := p[host]
	return url, ok
}

var _ = Describe("Service", func() {
	limit := ratelimit.NewLimit(50, 20)
	var addresses peers
	start := func(self id.HostID, holder *grants.Holder, c clock.Clock) *grants.Service {
		s := grants.New(grants.Config{
			Clock: c, Self: self, Placement: atHome{limit}, Peers: addresses,
			HTTP: http.DefaultClient, CallTimeout: 50 * time.Millisecond,
		}, holder)
		DeferCleanup(s.Close)
		return s
	}

	BeforeEach(func() { addresses = peers{} })

	// Guards against tokens that are created or lost between two daemons, and
	// against refusals of another type than the entry expects.
	It("shares a customer's limit between daemons", func() {
		c := &clock.Fake{}
		home := ratelimit.NewHome(1, alwaysOnDuty{}, 0)
		share := ratelimit.NewShare(limit, 0, 1, 1)
		share.First = true
		home.Assign(0, "c", share)
		holder := &grants.Holder{}
		holder.Set(home)
		atTheHome := start("home", holder, c)
		server := httptest.NewServer(atTheHome.Handler())
		DeferCleanup(server.Close)
		addresses["home"] = server.URL
		elsewhere := start("other", &grants.Holder{}, c)
		for range 10 {
			c.Advance(100 * time.Millisecond)
			holder.Do(func(h *ratelimit.Home) { h.Tick(c.Now()) })
		}

		var admitted, denied atomic.Int32
		var group sync.WaitGroup
		for i := range 60 {
			service := []*grants.Service{atTheHome, elsewhere}[i%2]
			group.Go(func() {
				defer GinkgoRecover()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				admission, err := service.Admit(ctx, "c")
				var refusal *ratelimit.Denied
				switch {
				case err == nil:
					Expect(admission.ValidFor).To(BeNumerically(">", 0))
					admitted.Add(1)
				case errors.As(err, &refusal):
					denied.Add(1)
				}
			})
		}
		group.Wait()
		Expect(admitted.Load()).To(BeEquivalentTo(20))
		Expect(denied.Load()).To(BeNumerically(">", 0))
	})

	// Guards against a caller that hangs, or is told that its rate is used up, when homes are down.
	It("refuses as unreachable when no home answers", func() {
		service := start("other", &grants.Holder{}, clock.NewSystem())
		_, err := service.Admit(context.Background(), "c")
		var refusal *ratelimit.Denied
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Unreachable).To(BeTrue())
	})
})
