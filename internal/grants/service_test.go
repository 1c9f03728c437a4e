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

// confirmedDuty confirms every duty.
type confirmedDuty struct{}

func (confirmedDuty) Confirmed(clock.Time) bool                   { return true }
func (confirmedDuty) Settled(catalogue.Revision, clock.Time) bool { return true }

// singleHome places every customer on the host "home".
type singleHome struct{ limit ratelimit.Limit }

func (a singleHome) Version() uint64                     { return 1 }
func (a singleHome) Homes(id.CustomerID) []id.HostID     { return []id.HostID{"home"} }
func (a singleHome) Limit(id.CustomerID) ratelimit.Limit { return a.limit }

// peers maps hosts to base URLs.
type peers map[id.HostID]string

func (p peers) BaseURL(host id.HostID) (string, bool) {
	url, ok := p[host]
	return url, ok
}

var _ = Describe("Service", func() {
	limit := ratelimit.NewLimit(50, 20)
	var addresses peers
	start := func(self id.HostID, holder *grants.HomeHolder, c clock.Clock) *grants.Service {
		s := grants.New(grants.Config{
			Clock: c, Self: self, Placement: singleHome{limit}, Peers: addresses,
			HTTP: http.DefaultClient, CallTimeout: 50 * time.Millisecond,
		}, holder)
		DeferCleanup(s.Close)
		return s
	}

	BeforeEach(func() { addresses = peers{} })

	// Guards against tokens that are created or lost between two daemons, and
	// against refusals that are not a *ratelimit.DeniedError.
	It("shares a customer's limit between daemons", func() {
		c := &clock.Fake{}
		home := ratelimit.NewHome(1, confirmedDuty{}, 0)
		share := ratelimit.NewShare(limit, 0, 1, 1)
		share.First = true
		home.Assign(0, "c", share)
		holder := &grants.HomeHolder{}
		holder.Set(home)
		homeService := start("home", holder, c)
		server := httptest.NewServer(homeService.Handler())
		DeferCleanup(server.Close)
		addresses["home"] = server.URL
		remoteService := start("other", &grants.HomeHolder{}, c)
		for range 10 {
			c.Advance(100 * time.Millisecond)
			holder.Do(func(h *ratelimit.Home) { h.Tick(c.Now()) })
		}

		var admitted, denied atomic.Int32
		var wg sync.WaitGroup
		for i := range 60 {
			service := []*grants.Service{homeService, remoteService}[i%2]
			wg.Go(func() {
				defer GinkgoRecover()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				admission, err := service.Admit(ctx, "c")
				var refusal *ratelimit.DeniedError
				switch {
				case err == nil:
					Expect(admission.ValidFor).To(BeNumerically(">", 0))
					admitted.Add(1)
				case errors.As(err, &refusal):
					denied.Add(1)
				}
			})
		}
		wg.Wait()
		Expect(admitted.Load()).To(BeEquivalentTo(20))
		Expect(denied.Load()).To(BeNumerically(">", 0))
	})

	// Guards against a caller that hangs, or gets a refusal as over its rate limit,
	// when homes are down.
	It("refuses as unreachable when no home replies", func() {
		service := start("other", &grants.HomeHolder{}, clock.NewSystem())
		_, err := service.Admit(context.Background(), "c")
		var refusal *ratelimit.DeniedError
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Unreachable).To(BeTrue())
	})
})
