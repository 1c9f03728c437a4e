package entry_test

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// adviseCancelling is a gate whose target does not answer and that needs the slot.
func adviseCancelling(ctx context.Context, _ *link.Attempt, signals link.Signals) *link.Result {
	signals.Started()
	signals.CancelAdvised()
	<-ctx.Done()
	return &link.Result{Verdict: hop.Unknown, Reason: link.Ended, Err: context.Cause(ctx)}
}

var _ = Describe("Entry", func() {
	Context("log", func() {
		// Guards against a log that does not tell advice of a gate from a deadline or a stop.
		It("tells why an attempt that may have run has no result, and the age of the process", func() {
			h := newHarness(2)
			h.clock.Leap(time.Hour)
			h.setFirstGate(adviseCancelling, answerAfter(300*time.Millisecond))
			h.do("GET", "/browse/1", "")
			var line struct {
				Up       float64
				Attempts []struct{ Verdict, Reason, Cause string }
			}
			Expect(json.Unmarshal(h.lines.Bytes(), &line)).To(Succeed())
			Expect(line.Up).To(BeNumerically(">=", time.Hour.Milliseconds()))
			Expect(line.Attempts).To(HaveLen(2))
			Expect(line.Attempts[0].Verdict).To(Equal("unknown"))
			Expect(line.Attempts[0].Reason).To(Equal("ended"))
			Expect(line.Attempts[0].Cause).To(ContainSubstring("need its slot"))
		})
	})
})
