package entry_test

import (
	"errors"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	ledgers "buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

var _ = Describe("a decision of the ledger", func() {
	var s *stack
	var target *recordingTarget

	BeforeEach(func() {
		s = newStack(ginkgoCleaner{})
		target = &recordingTarget{}
		s.addGate("t1", 1, target.ServeHTTP)
	})

	// Guards against a run that the ledger did not permit and against a refusal with a wrong code or statement.
	DescribeTable("not to run",
		func(refusal error, code problem.Code, run, send problem.Run) {
			s.ledger.err = refusal
			got := s.book()
			Expect(got.problem.Code).To(Equal(code))
			Expect(got.problem.Run).To(Equal(run))
			Expect(got.problem.Send).To(Equal(send))
			Expect(target.count()).To(BeZero())
			Expect(s.ledger.recordedOutcomes()).To(BeEmpty())
		},
		Entry("in progress", refusalFor(ledgers.InProgress), problem.InProgress, problem.Unknown, problem.NotRun),
		Entry("expired", refusalFor(ledgers.Expired), problem.TicketExpired, problem.Unknown, problem.NotRun),
		Entry("unknown", refusalFor(ledgers.Unknown), problem.OutcomeUnknown, problem.Unknown, problem.NotRun),
		Entry("not kept", refusalFor(ledgers.RanNotKept), problem.AnswerNotKept, problem.Unknown, problem.NotRun),
		// Guards against stating "unknown" for a key with which no send can have run.
		Entry("invalid", refusalFor(ledgers.Invalid), problem.TicketInvalid, problem.NotRun, problem.Run("")),
		Entry("full", refusalFor(ledgers.Full), problem.ClaimStoreUnavailable, problem.NotRun, problem.Run("")),
		Entry("reused", refusalFor(ledgers.KeyReused), problem.KeyReused, problem.Unknown, problem.NotRun),
		Entry("store", refusalFor(ledgers.StoreUnavailable), problem.ClaimStoreUnavailable, problem.Unknown, problem.NotRun),
		Entry("lost", refusalFor(ledgers.IssuerLost), problem.IssuerLost, problem.Unknown, problem.NotRun),
		// Guards against stating "not-run" for a key that an earlier send may have used.
		Entry("no decision", errors.New("no answer"), problem.ClaimStoreUnavailable, problem.Unknown, problem.NotRun),
	)

	// Guards against a replay that runs the request again or differs from the recorded response.
	It("is replayed", func() {
		recorded := entry.RecordedResponse{Status: http.StatusCreated, Header: http.Header{"Location": {"/b/1"}}, Body: []byte("booked")}
		s.ledger.next = entry.Decision{Kind: entry.Replay, Recorded: recorded}
		got := s.book()
		Expect(got.status).To(Equal(http.StatusCreated))
		Expect(got.body).To(Equal("booked"))
		Expect(got.header.Get("Location")).To(Equal("/b/1"))
		Expect(target.count()).To(BeZero())
	})
})
