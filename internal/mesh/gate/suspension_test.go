package gate_test

import (
	"context"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock/clocktest"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup/hanguptest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// suspendedAtStart plays a suspension between the admission of an attempt and its dispatch.
type suspendedAtStart struct {
	clock   *clocktest.Leaping
	suspend time.Duration
}

// Started implements link.Signals.
func (s suspendedAtStart) Started() { s.clock.Leap(s.suspend) }

func (suspendedAtStart) Queued()        {}
func (suspendedAtStart) Overdue()       {}
func (suspendedAtStart) CancelAdvised() {}

var _ = Describe("A suspension of the machine", func() {
	ctx := context.Background()

	// Guards against attempts that are sent although their entry has given them up meanwhile: the soak with freezes.
	It("sends no attempt whose entry has closed its connection", func() {
		h := newHarness(respond)
		conn, err := hanguptest.Closed()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		result := h.gate.Do(hangup.WithConn(ctx, conn), attempt("seats"), suspendedAtStart{h.clock, 0})
		Expect(result.Verdict).To(Equal(hop.NotRun))
		Expect(h.requests()).To(BeEmpty())
	})

	// Guards against attempts that are sent after their time has run out during a suspension.
	It("ends attempts whose time has run out meanwhile", func() {
		h := newHarness(respond)
		a := attempt("seats", func(a *link.Attempt) { a.Remaining = 5 * time.Second })
		result := h.gate.Do(ctx, a, suspendedAtStart{h.clock, 6 * time.Second})
		Expect(result.Verdict).To(Equal(hop.NotRun))
		Expect(result.Reason).To(Equal(link.OutOfTime))
		Expect(h.requests()).To(BeEmpty())
	})

	It("gives the target only the time that is left", func() {
		var left time.Duration
		h := newHarness(func(w http.ResponseWriter, r *http.Request) {
			ms, _ := strconv.Atoi(r.Header.Get("Deadline"))
			left = time.Duration(ms) * time.Millisecond
			respond(w, r)
		})
		a := attempt("seats", func(a *link.Attempt) { a.Remaining = 5 * time.Second })
		Expect(h.gate.Do(ctx, a, suspendedAtStart{h.clock, 3 * time.Second}).Verdict).To(Equal(hop.Ran))
		Expect(left).To(BeNumerically("<=", 2*time.Second))
		Expect(left).To(BeNumerically(">", time.Second))
	})
})
