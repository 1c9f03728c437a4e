package ratelimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

var _ = Describe("Entry without a local home", func() {
	limit := ratelimit.NewLimit(10, 5)
	newEntry := func() *ratelimit.Entry {
		return ratelimit.NewEntry(ratelimit.EntryConfig{Self: "other", Placement: oneHome{limit}})
	}

	// Guards against one call timeout per customer when a host fails.
	It("sends no request to a host that failed for other customers", func() {
		entry := newEntry()
		for _, customer := range []id.CustomerID{"a", "b"} {
			entry.Admit(0, customer)
			call := entry.Outbox().Calls[0]
			entry.HandleFailure(0, customer, call.Home, call.Request.ID)
		}
		decision := entry.Admit(0, "c")
		Expect(decision.Outcome).To(Equal(ratelimit.Refused))
		Expect(decision.Denied.Unreachable).To(BeTrue())
		Expect(decision.Denied.RetryAfter).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
		Expect(entry.Admit(clock.Time(time.Second), "c").Outcome).To(Equal(ratelimit.Pending))
	})

	// Guards against tokens that are spent twice, or after the home stopped counting
	// them as outstanding.
	It("ignores duplicate replies and late immediate tokens", func() {
		entry := newEntry()
		for range 3 {
			entry.Admit(0, "c")
		}
		call := entry.Outbox().Calls[0]
		Expect(call.Request.Need).To(Equal(1))
		reply := ratelimit.Reply{ID: call.Request.ID, Immediate: 1, RetryAfter: time.Second}
		late := clock.Time(ratelimit.ImmediateValidity + 1)
		entry.HandleReply(late, "c", call.Home, reply)
		entry.HandleReply(late, "c", call.Home, reply)
		for _, r := range entry.Outbox().Resolved {
			Expect(r.Denied).NotTo(BeNil())
		}
	})

	// Guards against an entry that does not detect a raised limit, and against a
	// RetryAfter that is shorter than the home's.
	It("sends a request to an empty home again before its next token", func() {
		entry := newEntry()
		entry.Admit(0, "c")
		call := entry.Outbox().Calls[0]
		entry.HandleReply(0, "c", call.Home, ratelimit.Reply{ID: call.Request.ID, RetryAfter: time.Hour})
		refused := entry.Admit(clock.Time(time.Second), "c")
		Expect(refused.Outcome).To(Equal(ratelimit.Refused))
		Expect(refused.Denied.RetryAfter).To(Equal(time.Hour - time.Second))
		Expect(entry.Admit(clock.Time(3*time.Second), "c").Outcome).To(Equal(ratelimit.Pending))
		Expect(entry.Outbox().Calls).To(HaveLen(1))
	})

	// Guards against memory that grows with every customer ever seen.
	It("removes the state of idle customers", func() {
		entry := newEntry()
		entry.Admit(0, "c")
		call := entry.Outbox().Calls[0]
		entry.HandleReply(0, "c", call.Home, ratelimit.Reply{ID: call.Request.ID, Immediate: 1})
		Expect(entry.Customers()).To(Equal(1))
		entry.Tick(clock.Time(time.Minute))
		Expect(entry.Customers()).To(BeZero())
	})
})

var _ = Describe("Handover", func() {
	// Guards against two processes that grant from one bucket, and against an import
	// that loses outstanding tokens or refills the bucket.
	It("moves level and outstanding tokens and stops the old home", func() {
		d := &duty{confirmed: true, settled: true}
		home := ratelimit.NewHome(3, d, 0)
		share := ratelimit.NewShare(ratelimit.NewLimit(10, 5), 0, 1, 1)
		share.First = true
		home.Assign(0, "c", share)
		now := clock.Time(0)
		for ; now < clock.Time(time.Second); now = now.Add(ratelimit.TickPeriod) {
			home.Tick(now)
		}
		home.Exchange(now, ratelimit.Request{ID: 1, Customer: "c", Need: 2, Want: 2})
		state := home.Export(now)
		Expect(home.Exchange(now, ratelimit.Request{Customer: "c", Need: 1, Want: 1}).Status).
			To(Equal(ratelimit.StatusUnconfirmed))
		Expect(state.Buckets[0].Level + state.Buckets[0].Outstanding).To(Equal(5 * ratelimit.Token))
		next := ratelimit.Import(now, d, state)
		reply := next.Exchange(now, ratelimit.Request{ID: 2, Customer: "c", Need: 5, Want: 5})
		Expect(reply.Immediate).To(Equal(3))
	})
})
