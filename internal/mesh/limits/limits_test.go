package limits_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/limits"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// fleet is a set of hosts that admit requests of one customer.
type fleet struct {
	clock   *clock.Fake
	members []*limits.Limits
	servers []*httptest.Server
	records []roster.Record
}

// newFleet starts hosts that grant each other tokens over HTTP.
func newFleet(hosts int) *fleet {
	f := &fleet{clock: &clock.Fake{}}
	for i := range hosts {
		member := &atomic.Pointer[limits.Limits]{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			member.Load().Handler().ServeHTTP(w, r)
		}))
		DeferCleanup(server.Close)
		self := id.HostID(strings.TrimPrefix(server.URL, "http://"))
		l := limits.New(limits.Config{Self: self, Clock: f.clock, HTTP: http.DefaultClient, Incarnation: id.Epoch(i + 1)})
		DeferCleanup(l.Close)
		member.Store(l)
		f.members = append(f.members, l)
		f.servers = append(f.servers, server)
		f.records = append(f.records, roster.Record{Host: self, Domain: "north", Service: "walks", State: roster.Serving, Slots: 5})
	}
	return f
}

// restarted makes the hosts restarted ones, which were part of the current division before.
func (f *fleet) restarted() *fleet {
	for _, l := range f.members {
		l.Continue()
	}
	return f
}

// set puts a rate in force at all hosts.
func (f *fleet) set(version policy.Version, rate float64, burst int) {
	view := roster.NewView(f.records)
	f.setWith(version, rate, burst, func(int) *roster.View { return view })
}

// setWith is set with the view that each host has.
func (f *fleet) setWith(version policy.Version, rate float64, burst int, view func(host int) *roster.View) {
	snapshot, err := policy.Build(policy.Document{
		Version: version, Customers: []policy.Customer{{ID: "school", RatePerSecond: rate, Burst: burst}},
	})
	Expect(err).NotTo(HaveOccurred())
	for i, l := range f.members {
		l.Update(f.clock.Now(), snapshot, view(i))
	}
}

// settle lets new shares come into force.
func (f *fleet) settle() {
	for range 4 {
		f.clock.Advance(limits.TickPeriod)
		for _, l := range f.members {
			l.Tick(f.clock.Now())
		}
	}
}

// admitted sends n requests, spread over the hosts, and counts the admitted ones.
func (f *fleet) admitted(n int) int {
	count := 0
	for i := range n {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if f.members[i%len(f.members)].Admit(ctx, "school") == nil {
			count++
		}
		cancel()
	}
	return count
}

var _ = Describe("Limits", func() {
	// Guards against admitting more than the customer's rate and burst over all hosts together, or much less.
	It("admit the rate and the burst over all hosts together", func() {
		f := newFleet(4).restarted()
		f.set(1, 10, 20)
		f.clock.Advance(10 * time.Second)
		Expect(f.admitted(60)).To(BeNumerically("~", 20, 1))
		f.clock.Advance(time.Second)
		Expect(f.admitted(40)).To(BeNumerically("~", 10, 4))
	})

	// Guards against a limit that is exceeded when hosts cannot reach each other.
	It("admit no more when a home is unreachable", func() {
		f := newFleet(4).restarted()
		f.set(1, 10, 20)
		f.clock.Advance(10 * time.Second)
		f.servers[0].CloseClientConnections()
		f.servers[0].Close()
		admitted := f.admitted(60)
		Expect(admitted).To(BeNumerically("<=", 20))
		Expect(admitted).To(BeNumerically(">=", 10))
	})

	It("report the time until the next token", func() {
		f := newFleet(1).restarted()
		f.set(1, 10, 2)
		f.clock.Advance(10 * time.Second)
		Expect(f.admitted(2)).To(Equal(2))
		err := f.members[0].Admit(context.Background(), "school")
		var denied *ratelimit.DeniedError
		Expect(errors.As(err, &denied)).To(BeTrue())
		Expect(denied.RetryAfter).To(BeNumerically(">", 0))
		Expect(denied.RetryAfter).To(BeNumerically("<", time.Second))
	})

	It("put a lower rate in force at once", func() {
		f := newFleet(2).restarted()
		f.set(1, 100, 100)
		f.clock.Advance(10 * time.Second)
		f.set(2, 1, 4)
		Expect(f.admitted(40)).To(BeNumerically("<=", 4))
	})

	// Guards against hosts that start while they cannot read the roster, and each take themselves for the only home.
	It("admit nothing at hosts that do not know the roster", func() {
		f := newFleet(300).restarted()
		f.setWith(1, 10, 20, func(host int) *roster.View { return roster.NewPartialView(f.records[host : host+1]) })
		f.settle()
		f.clock.Advance(10 * time.Second)
		Expect(f.admitted(300)).To(BeZero())
		f.set(1, 10, 20)
		f.clock.Advance(10 * time.Second)
		admitted := f.admitted(300)
		Expect(admitted).To(BeNumerically("<=", 20))
		Expect(admitted).To(BeNumerically(">=", 10))
	})

	// Guards against hosts that start at once for the first time: the roster is whole for each of them and holds no other.
	It("admit nothing at new hosts until a division has settled", func() {
		f := newFleet(300)
		f.setWith(1, 10, 20, func(host int) *roster.View { return roster.NewView(f.records[host : host+1]) })
		f.clock.Advance(time.Second)
		Expect(f.admitted(300)).To(BeZero())
		f.set(1, 10, 20)
		f.settle()
		f.clock.Advance(10 * time.Second)
		admitted := f.admitted(300)
		Expect(admitted).To(BeNumerically("<=", 20))
		Expect(admitted).To(BeNumerically(">=", 10))
	})
})
