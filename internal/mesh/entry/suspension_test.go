package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup/hanguptest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// suspended returns a gate that refuses after the entry's machine was suspended for a time.
func (h *harness) suspended(d time.Duration) gateFunc {
	refused := refuse(link.Reason(slots.Full), 0)
	return func(ctx context.Context, a *link.Attempt, signals link.Signals) *link.Result {
		h.clock.Leap(d)
		return refused(ctx, a, signals)
	}
}

var _ = Describe("A suspension of the machine", func() {
	// Guards against attempts that are sent on after their callers have stopped waiting.
	It("starts no attempt for a request whose deadline has passed meanwhile", func() {
		h := newHarness(3)
		h.setFirstGate(h.suspended(4*time.Second), answer(http.StatusOK))
		Expect(h.do(http.MethodPost, "/book/1", "seats").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(h.attempts()).To(HaveLen(1))
	})

	// Guards against requests that a paused process finds in its sockets and starts although their callers have left: the
	// soak with freezes, where bookings started up to 12 s after they were sent.
	It("starts no attempt for a caller that has closed its connection", func() {
		h := newHarness(3)
		conn, err := hanguptest.Closed()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		r := httptest.NewRequest(http.MethodPost, "/book/1", strings.NewReader("seats"))
		r = r.WithContext(hangup.WithConn(r.Context(), conn))
		r.Host = "trails.example"
		r.Header.Set("Request-Id", "r1")
		r.Header.Set("Authorization", "Bearer school-key")
		Expect(func() { h.entry.ServeHTTP(httptest.NewRecorder(), r) }).To(PanicWith(http.ErrAbortHandler))
		Expect(h.attempts()).To(BeEmpty())
	})

	// Guards against the same where the caller's end of the connection lies behind unread bytes, as with an upload.
	It("takes what it reads right after a pause to be as old as the pause", func() {
		h := newHarness(3)
		h.paused = 2 * time.Second
		Expect(h.do(http.MethodPost, "/book/1", "seats").Code).To(Equal(http.StatusOK))
		Expect(h.attempts()[0].attempt.Remaining).To(BeNumerically("<=", time.Second))
		h.paused = 4 * time.Second
		late := h.do(http.MethodPost, "/book/2", "seats")
		Expect(late.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(late.Header().Get("Retry-After")).NotTo(BeEmpty())
		Expect(h.attempts()).To(HaveLen(1))
	})

	// Guards against bookings that a gate runs late because their entry was paused before it sent them.
	It("releases no body once the time of its request has run out, or its caller has left", func() {
		h := newHarness(1)
		released := make(chan bool, 2)
		asks := func(meanwhile func()) gateFunc {
			return func(_ context.Context, a *link.Attempt, _ link.Signals) *link.Result {
				meanwhile()
				released <- a.Release()
				return &link.Result{Verdict: hop.NotRun, Reason: link.BodyBroken}
			}
		}
		h.setGates(asks(func() { h.clock.Leap(4 * time.Second) }))
		h.do(http.MethodPost, "/book/1", "seats")
		Expect(<-released).To(BeFalse())
		conn, peer, err := hanguptest.Open()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		h.setGates(asks(func() { hanguptest.Close(peer) }))
		r := httptest.NewRequest(http.MethodPost, "/book/2", strings.NewReader("seats"))
		r = r.WithContext(hangup.WithConn(r.Context(), conn))
		r.Host = "trails.example"
		r.Header.Set("Request-Id", "r2")
		r.Header.Set("Authorization", "Bearer school-key")
		Expect(func() { h.entry.ServeHTTP(httptest.NewRecorder(), r) }).To(PanicWith(http.ErrAbortHandler))
		Expect(<-released).To(BeFalse())
	})

	It("gives the next gate only the time that is left", func() {
		h := newHarness(3)
		h.setFirstGate(h.suspended(2*time.Second), answer(http.StatusOK))
		Expect(h.do(http.MethodPost, "/book/1", "seats").Code).To(Equal(http.StatusOK))
		Expect(h.attempts()).To(HaveLen(2))
		Expect(h.attempts()[1].attempt.Remaining).To(BeNumerically("<=", time.Second))
	})
})
