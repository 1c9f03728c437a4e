package ledger_test

import (
	"encoding/binary"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// random returns a random part for a ticket, distinct for each n.
func random(n uint64) ledger.Random {
	var r ledger.Random
	binary.BigEndian.PutUint64(r[:], n)
	return r
}

var _ = Describe("Ledger", func() {
	var (
		l        *ledger.Ledger
		settings ledger.Settings
		ticket   string
		at       = ledger.Location{Host: "trelew-1", Epoch: 3}
	)

	BeforeEach(func() {
		settings = ledger.DefaultSettings()
		settings.MaxClaims, settings.MaxClaimsPerCustomer = 3, 2
		settings.MaxResponseBytes, settings.MaxStoredBytes = 100, 150
	})

	JustBeforeEach(func() {
		var err error
		l, err = ledger.New(at, ledger.Secret{1}, settings)
		Expect(err).NotTo(HaveOccurred())
		ticket, err = l.Issue("chubut", random(1), 0)
		Expect(err).NotTo(HaveOccurred())
	})

	begin := func(n uint64, now clock.Time) ledger.Decision {
		t, err := l.Issue("chubut", random(n), now)
		Expect(err).NotTo(HaveOccurred())
		return l.Begin("chubut", t, "f", now)
	}

	// Guards against a second run, and against replaying the response of a different request.
	It("runs once, then replays the response to the same request only", func() {
		first := l.Begin("chubut", ticket, "f", 1)
		Expect(first.Kind).To(Equal(ledger.Run))
		Expect(l.Begin("chubut", ticket, "f", 2).Kind).To(Equal(ledger.InProgress))
		response := ledger.Response{Status: 201, Body: []byte("seat 4")}
		Expect(l.Finish(first.Claim, ledger.Ran(response), 3)).To(Equal(ledger.Recorded))
		Expect(l.Begin("chubut", ticket, "f", 4)).To(Equal(ledger.Decision{Kind: ledger.Replay, Response: response}))
		Expect(l.Begin("chubut", ticket, "g", 4).Kind).To(Equal(ledger.KeyReused))
	})

	// Guards against a late Finish of a released claim that ends the next claim of the ticket.
	It("releases a proved not-run and ignores a repeated Finish", func() {
		first := l.Begin("chubut", ticket, "f", 1)
		Expect(l.Finish(first.Claim, ledger.NotRun(ledger.GateVerdict), 2)).To(Equal(ledger.Recorded))
		second := l.Begin("chubut", ticket, "f", 3)
		Expect(second.Kind).To(Equal(ledger.Run))
		Expect(l.Finish(first.Claim, ledger.NotRun(ledger.GateVerdict), 4)).To(Equal(ledger.Ignored))
		Expect(l.Begin("chubut", ticket, "f", 5).Kind).To(Equal(ledger.InProgress))
	})

	// Guards against releasing a claim without proof that the request did not run.
	It("treats a not-run without proof as unknown", func() {
		first := l.Begin("chubut", ticket, "f", 1)
		l.Finish(first.Claim, ledger.Outcome{Result: ledger.OutcomeNotRun}, 2)
		Expect(l.Begin("chubut", ticket, "f", 3).Kind).To(Equal(ledger.Unknown))
		Expect(l.Finish(first.Claim, ledger.Ran(ledger.Response{Status: 200}), 4)).To(Equal(ledger.Ignored))
	})

	// Guards against running a ticket of another customer, a forged ticket or one with changed text.
	It("refuses tickets that it did not issue to the customer", func() {
		Expect(l.Begin("latvia", ticket, "f", 1).Kind).To(Equal(ledger.Invalid))
		other, err := ledger.New(at, ledger.Secret{2}, settings)
		Expect(err).NotTo(HaveOccurred())
		forged, err := other.Issue("chubut", random(1), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Begin("chubut", forged, "f", 1).Kind).To(Equal(ledger.Invalid))
		for i := range ticket {
			changed := []byte(ticket)
			changed[i] ^= 1
			decision := l.Begin("chubut", string(changed), "f", 1)
			Expect(decision.Kind).To(BeElementOf(ledger.Invalid, ledger.Forward), "position %d", i)
		}
	})

	// Guards against deciding a ticket whose claim is in another ledger.
	It("forwards tickets of other slots and epochs", func() {
		earlier := ledger.Location{Host: at.Host, Epoch: 2}
		other, err := ledger.New(earlier, ledger.Secret{1}, settings)
		Expect(err).NotTo(HaveOccurred())
		foreign, err := other.Issue("chubut", random(1), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Begin("chubut", foreign, "f", 1)).To(Equal(ledger.Decision{Kind: ledger.Forward, At: earlier}))
	})

	// Guards against a second run after the claim of the first one may have been dropped.
	It("never runs an expired ticket and replays responses beyond the window", func() {
		first := l.Begin("chubut", ticket, "f", 1)
		l.Finish(first.Claim, ledger.Ran(ledger.Response{Status: 204}), 2)
		window := clock.Time(settings.Window)
		unused, err := l.Issue("chubut", random(2), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Begin("chubut", unused, "f", window).Kind).To(Equal(ledger.Expired))
		Expect(l.Begin("chubut", ticket, "f", window).Kind).To(Equal(ledger.Replay))
		Expect(l.Begin("chubut", ticket, "f", window.Add(settings.Window/20)).Kind).To(Equal(ledger.Expired))
		l.Expire(window.Add(settings.Window))
		Expect(l.Len()).To(BeZero())
		Expect(l.StoredBytes()).To(BeZero())
	})

	// Guards against evicting claims when the table is full, which would allow second runs.
	It("refuses new tickets when full and keeps the old claims", func() {
		numbers := []uint64{2, 3}
		for _, n := range numbers {
			Expect(begin(n, 1).Kind).To(Equal(ledger.Run))
		}
		Expect(l.Begin("chubut", ticket, "f", 1).Kind).To(Equal(ledger.Full))
		_, err := l.Issue("chubut", random(9), 1)
		Expect(err).To(MatchError(&ledger.IssueError{Kind: ledger.Full}))
		_, err = l.Issue("latvia", random(9), 1)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a second run of a request whose stored response was dropped.
	It("drops the oldest response and still returns its status", func() {
		body := make([]byte, 90)
		first := l.Begin("chubut", ticket, "f", 1)
		l.Finish(first.Claim, ledger.Ran(ledger.Response{Status: 201, Body: body}), 1)
		second := begin(2, 1)
		l.Finish(second.Claim, ledger.Ran(ledger.Response{Status: 200, Body: body}), 1)
		decision := l.Begin("chubut", ticket, "f", 2)
		Expect(decision).To(Equal(ledger.Decision{Kind: ledger.RanNotKept, Response: ledger.Response{Status: 201}}))
		Expect(l.StoredBytes()).To(Equal(90))
	})

	// Guards against callers that retry for the whole window because the daemon that was allowed to
	// run the request was lost.
	It("returns Unknown for a claim that runs for too long, and still records its outcome", func() {
		first := l.Begin("chubut", ticket, "f", 1)
		late := clock.Time(settings.MaxRun + time.Second)
		Expect(l.Begin("chubut", ticket, "f", late).Kind).To(Equal(ledger.Unknown))
		Expect(l.Finish(first.Claim, ledger.Ran(ledger.Response{Status: 200}), late)).To(Equal(ledger.Recorded))
		Expect(l.Begin("chubut", ticket, "f", late).Kind).To(Equal(ledger.Replay))
	})
})
