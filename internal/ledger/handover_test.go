package ledger_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// handOver hands a ledger over and returns the received one. The clocks of sender and receiver may
// differ.
func handOver(l *ledger.Ledger, senderNow, receiverNow clock.Time) *ledger.Ledger {
	seal := l.Seal()
	c, err := ledger.NewCopy(l.Manifest(), ledger.DefaultSettings())
	Expect(err).NotTo(HaveOccurred())
	var cursor ledger.Cursor
	for done := false; !done; {
		var records []ledger.Record
		records, cursor, done, err = l.Export(seal, cursor, 300)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Add(records)).To(Succeed())
	}
	Expect(l.Commit(seal)).To(Succeed())
	received := c.Activate(l.Completion(senderNow), receiverNow)
	l.HandOver("gaiman-1")
	return received
}

var _ = Describe("Handover of records", func() {
	var l *ledger.Ledger
	at := ledger.Location{Host: "trelew-1", Epoch: 3}

	BeforeEach(func() {
		var err error
		l, err = ledger.New(at, ledger.Secret{1}, ledger.DefaultSettings())
		Expect(err).NotTo(HaveOccurred())
	})

	issue := func(n uint64, now clock.Time) string {
		t, err := l.Issue("chubut", random(n), now)
		Expect(err).NotTo(HaveOccurred())
		return t
	}

	// Guards against a run of a ticket that the other side has already allowed to run.
	It("moves every claim, and only the receiver allows runs", func() {
		now := clock.Time(time.Hour)
		var tickets []string
		for n := range 20 {
			tickets = append(tickets, issue(uint64(n), now))
		}
		for n, t := range tickets[:10] {
			d := l.Begin("chubut", t, "f", now)
			l.Finish(d.Claim, ledger.Ran(ledger.Response{Status: 201, Body: fmt.Append(nil, n)}), now)
		}
		running := l.Begin("chubut", tickets[10], "f", now)
		received := handOver(l, now, 5)
		for n, t := range tickets[:10] {
			Expect(received.Begin("chubut", t, "f", 6).Response.Body).To(Equal(fmt.Append(nil, n)))
		}
		Expect(received.Begin("chubut", tickets[10], "f", 6).Kind).To(Equal(ledger.InProgress))
		Expect(l.Finish(running.Claim, ledger.NotRun(ledger.GateVerdict), now)).To(Equal(ledger.Moved))
		Expect(l.Begin("chubut", tickets[11], "f", now)).To(Equal(ledger.Decision{
			Kind: ledger.HandedOver, At: ledger.Location{Host: "gaiman-1", Epoch: 3},
		}))
		Expect(received.Begin("chubut", tickets[11], "f", 6).Kind).To(Equal(ledger.Run))
		Expect(received.Finish(running.Claim, ledger.NotRun(ledger.GateVerdict), 7)).To(Equal(ledger.Recorded))
		Expect(received.Begin("chubut", tickets[10], "f", 8).Kind).To(Equal(ledger.Run))
		l.Aborted()
		Expect(l.Reopen(1)).To(BeFalse())
	})

	// Guards against a receiver with another clock that allows a run of a ticket whose claim the sender
	// has already dropped as expired.
	It("continues ledger time at the receiver", func() {
		start := clock.Time(time.Minute)
		t := issue(1, start)
		received := handOver(l, start.Add(50*time.Minute), 0)
		Expect(received.Begin("chubut", t, "f", clock.Time(9*time.Minute)).Kind).To(Equal(ledger.Run))
		Expect(received.Begin("chubut", t, "f", clock.Time(20*time.Minute)).Kind).To(Equal(ledger.Expired))
	})

	// Guards against runs at both sides when it is not known how a handover ended.
	It("reopens only while the receiver cannot activate its copy", func() {
		t := issue(1, 0)
		first := l.Seal()
		Expect(l.Begin("chubut", t, "f", 1).Kind).To(Equal(ledger.HandedOver))
		Expect(l.Reopen(first)).To(BeTrue())
		Expect(l.Commit(first)).To(MatchError(ledger.ErrSeal))
		second := l.Seal()
		third := l.Seal()
		Expect(l.Commit(second)).To(MatchError(ledger.ErrSeal))
		Expect(l.Reopen(second)).To(BeFalse())
		Expect(l.Commit(third)).To(Succeed())
		Expect(l.Reopen(third)).To(BeFalse())
		Expect(l.Seal()).To(BeZero())
		Expect(l.Begin("chubut", t, "f", 1).Kind).To(Equal(ledger.HandedOver))
		l.Aborted()
		Expect(l.Reopen(third)).To(BeTrue())
		Expect(l.Begin("chubut", t, "f", 1).Kind).To(Equal(ledger.Run))
	})
})
