package gate_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock/clocktest"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup/hanguptest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
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

// suspendedRead plays a suspension at the first read.
type suspendedRead struct {
	inner   io.Reader
	once    sync.Once
	suspend func()
}

// Read implements io.Reader.
func (s *suspendedRead) Read(p []byte) (int, error) {
	s.once.Do(s.suspend)
	return s.inner.Read(p)
}

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

	// Guards against bookings that start seconds late because the process was frozen while it connected to the target.
	It("sends nothing whose time has run out since the last check", func() {
		h := newHarness(respond)
		h.dispatched = func() { h.clock.Leap(6 * time.Second) }
		a := attempt("seats", func(a *link.Attempt) { a.Remaining = 5 * time.Second })
		result := h.gate.Do(ctx, a, &signals{})
		Expect(result.Verdict).To(Equal(hop.NotRun))
		Expect(result.Reason).To(Equal(link.OutOfTime))
		Expect(h.requests()).To(BeEmpty())
	})

	// Guards against bookings whose caller left while the process was frozen between its last check and the write.
	It("sends nothing whose entry has closed its connection since the last check", func() {
		h := newHarness(respond)
		conn, peer, err := hanguptest.Open()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		h.dispatched = func() { hanguptest.Close(peer) }
		result := h.gate.Do(hangup.WithConn(ctx, conn), attempt("seats"), &signals{})
		Expect(result.Verdict).To(Equal(hop.NotRun))
		Expect(result.Reason).To(Equal(link.Ended))
		Expect(h.requests()).To(BeEmpty())
	})

	// Guards against attempts that reach a target after its leaving was acknowledged, because connecting took long.
	It("sends nothing to a target that has announced its leaving since the last check", func() {
		h := newHarness(respond)
		h.dispatched = func() { Expect(h.announce(roster.Draining, 1, 2)).To(Succeed()) }
		result := h.gate.Do(ctx, attempt("seats"), &signals{})
		Expect(result.Verdict).To(Equal(hop.NotRun))
		Expect(result.Reason).To(Equal(link.Reason(slots.NoTarget)))
		Expect(h.requests()).To(BeEmpty())
	})

	// Guards against uploads of which the target gets the end, and begins to work on, seconds after their time has run out.
	It("breaks off a long body whose time runs out while it is sent", func() {
		received := make(chan error, 1)
		h := newHarness(func(w http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			received <- err
			respond(w, r)
		})
		a := attempt("", func(a *link.Attempt) { a.Remaining = 5 * time.Second })
		end := &suspendedRead{inner: strings.NewReader(strings.Repeat("x", 100<<10)), suspend: func() { h.clock.Leap(6 * time.Second) }}
		a.Body = &link.Body{Rest: io.MultiReader(strings.NewReader(strings.Repeat("x", 200<<10)), end), Length: 300 << 10}
		result := h.gate.Do(ctx, a, &signals{})
		Expect(result.Verdict).To(Equal(hop.Unknown))
		Expect(result.Reason).To(Equal(link.OutOfTime))
		Expect(<-received).To(HaveOccurred())
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
