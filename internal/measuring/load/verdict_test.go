package load_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

var _ = Describe("Check", func() {
	history := func(records ...load.Record) load.History {
		return load.History{Records: records}
	}

	// Guards against a checker that passes over the faults that it exists to find.
	DescribeTable("finds each kind of violation",
		func(record load.Record, runs int, want load.Verdict) {
			Expect(load.Check(history(record), map[string]int{record.RequestID: runs})).To(Equal(want))
		},
		Entry("duplicate", load.Record{RequestID: "a", Outcome: load.Served}, 2, load.Verdict{Duplicates: 1}),
		Entry("loss", load.Record{RequestID: "a", Outcome: load.Served}, 0, load.Verdict{Losses: 1}),
		Entry("untrue refusal", load.Record{RequestID: "a", Outcome: load.RefusedNotRun}, 1, load.Verdict{UntrueRefusals: 1}),
		Entry("crossed answer", load.Record{RequestID: "a", Outcome: load.Served, Mismatched: true}, 1, load.Verdict{Mismatched: 1}),
		Entry("unknown that ran", load.Record{RequestID: "a", Outcome: load.Unknown}, 1, load.Verdict{}),
		Entry("repeated look-up", load.Record{RequestID: "a", Idempotent: true, Outcome: load.Served}, 3, load.Verdict{}),
	)
})

var _ = Describe("Summarize", func() {
	// Guards against counting a deserved refusal as a wrongful one.
	It("counts wrongful refusals only inside the customer's rate", func() {
		summary := load.Summarize(load.History{Records: []load.Record{
			{Customer: "a", Conforming: true, Outcome: load.Served},
			{Customer: "a", Conforming: true, Outcome: load.RefusedNotRun, Code: "rate-exceeded"},
			{Customer: "a", Conforming: false, Outcome: load.RefusedNotRun, Code: "rate-exceeded"},
		}})
		Expect(summary.Customers).To(HaveLen(1))
		Expect(summary.Customers[0].WrongfulRefusals).To(Equal(1))
		Expect(summary.Customers[0].Share()).To(BeNumerically("~", 0.5, 1e-9))
	})
})
