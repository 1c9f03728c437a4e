package ratelimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// duty is a Duty with settable results.
type duty struct{ confirmed, settled bool }

func (d *duty) Confirmed(clock.Time) bool                       { return d.confirmed }
func (d *duty) Settled(_ catalogue.Revision, _ clock.Time) bool { return d.settled }

// oneHome places every customer on one home.
type oneHome struct{ limit ratelimit.Limit }

func (o oneHome) Version() uint64                     { return 1 }
func (o oneHome) Homes(id.CustomerID) []id.HostID     { return []id.HostID{"self"} }
func (o oneHome) Limit(id.CustomerID) ratelimit.Limit { return o.limit }

var _ = Describe("Entry with a local home", func() {
	limit := ratelimit.NewLimit(10, 5)
	at := func(d time.Duration) clock.Time { return clock.Time(d) }

	// setup returns an entry whose home was ticked for the given time.
	setup := func(ticked time.Duration) (*ratelimit.Entry, *duty) {
		d := &duty{confirmed: true, settled: true}
		home := ratelimit.NewHome(1, d, 0)
		share := ratelimit.NewShare(limit, 0, 1, 1)
		share.First = true
		home.Assign(0, "c", share)
		for now := clock.Time(0); now <= at(ticked); now = now.Add(ratelimit.TickPeriod) {
			home.Tick(now)
		}
		return ratelimit.NewEntry(ratelimit.EntryConfig{Self: "self", Placement: oneHome{limit}, Local: home}), d
	}

	// Guards against a new epoch that starts full, and against a wrong burst.
	It("starts empty and admits the burst after it refilled", func() {
		entry, _ := setup(0)
		Expect(entry.Admit(at(time.Millisecond), "c").Outcome).NotTo(Equal(ratelimit.Admitted))
		entry, _ = setup(time.Second)
		for range 5 {
			Expect(entry.Admit(at(time.Second), "c").Outcome).To(Equal(ratelimit.Admitted))
		}
		refused := entry.Admit(at(time.Second), "c")
		Expect(refused.Outcome).To(Equal(ratelimit.Refused))
		Expect(refused.Denied.RetryAfter).To(BeNumerically("~", 101*time.Millisecond, time.Millisecond))
	})

	// Guards against a paused or replaced daemon that continues to spend tokens.
	It("admits nothing while the duty is not confirmed", func() {
		entry, d := setup(time.Second)
		d.confirmed = false
		Expect(entry.Admit(at(time.Second), "c").Outcome).NotTo(Equal(ratelimit.Admitted))
	})
})
