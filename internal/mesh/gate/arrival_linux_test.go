package gate_test

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

var _ = Describe("The time of an attempt that lay unread", func() {
	// pausedGate returns the address of a gate that reads what it is sent after a pause, however short.
	pausedGate := func(h *harness, pause time.Duration) id.HostID {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: h.gate, ConnContext: hangup.WithConn}
		DeferCleanup(server.Close)
		time.AfterFunc(pause, func() { _ = server.Serve(listener) })
		return id.HostID(listener.Addr().String())
	}

	// Guards against bookings that start late because their gate was paused before it read them, and their entry, which
	// would have ended them, is paused too.
	It("is used up by then", func() {
		h := newHarness(respond)
		for remaining, verdict := range map[time.Duration]hop.Verdict{200 * time.Millisecond: hop.NotRun, 30 * time.Second: hop.Ran} {
			a := attempt("seats", func(a *link.Attempt) { a.Remaining = remaining })
			result := h.client.Send(context.Background(), pausedGate(h, 400*time.Millisecond), a, &signals{})
			Expect(result.Verdict).To(Equal(verdict))
			if verdict == hop.NotRun {
				Expect(result.Reason).To(Equal(link.OutOfTime))
			}
		}
		Expect(h.requests()).To(HaveLen(1))
	})
})
