package entry_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

var _ = Describe("a decision of the ledger", func() {
	var s *stack
	var target *targetLog

	BeforeEach(func() {
		s = newStack(ginkgoCleaner{})
		target = &targetLog{}
		s.addGate("t1", 1, target.ServeHTTP)
	})

	// Guards against a run that the ledger did not permit, and against a refusal that states another fate.
	DescribeTable("not to run",
		func(d entry.Decision, code problem.Code, run, send problem.Run) {
			s.ledger.next = d
			got := s.book()
			Expect(got.problem.Code).To(Equal(code))
			Expect(got.problem.Run).To(Equal(run))
			Expect(got.problem.Send).To(Equal(send))
			Expect(target.count()).To(BeZero())
		},
		Entry("in progress", entry.Decision{Kind: entry.InProgress}, problem.InProgress, problem.Unknown, problem.NotRun),
		Entry("expired", entry.Decision{Kind: entry.Expired, SendNotRun: true}, problem.TicketExpired, problem.Unknown, problem.NotRun),
		Entry("unknown", entry.Decision{Kind: entry.Unknown}, problem.OutcomeUnknown, problem.Unknown, problem.Run("")),
		Entry("invalid", entry.Decision{Kind: entry.Invalid}, problem.TicketInvalid, problem.NotRun, problem.Run("")),
		Entry("reused", entry.Decision{Kind: entry.KeyReused}, problem.KeyReused, problem.Unknown, problem.NotRun),
		Entry("store", entry.Decision{Kind: entry.StoreUnavailable}, problem.ClaimStoreUnavailable, problem.Unknown, problem.NotRun),
		Entry("lost", entry.Decision{Kind: entry.IssuerLost, SendNotRun: true}, problem.IssuerLost, problem.Unknown, problem.NotRun),
	)

	// Guards against a replay that runs again or is delivered without its recorded form.
	It("is replayed", func() {
		recorded := entry.Recorded{Status: http.StatusCreated, Header: http.Header{"Location": {"/b/1"}}, Body: []byte("booked")}
		s.ledger.next = entry.Decision{Kind: entry.Replay, Recorded: recorded}
		got := s.book()
		Expect(got.status).To(Equal(http.StatusCreated))
		Expect(got.body).To(Equal("booked"))
		Expect(got.header.Get("Location")).To(Equal("/b/1"))
		Expect(target.count()).To(BeZero())
	})
})
