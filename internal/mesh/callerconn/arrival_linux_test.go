package callerconn_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/callerconn"
)

var _ = Describe("The time at which a request was received", func() {
	// Guards against requests that lie unread while the process is paused for a short time, and are taken for new ones.
	It("is when the kernel received it", func() {
		const pause, tolerance = 300 * time.Millisecond, 20 * time.Millisecond
		ages := make(chan time.Duration, 2)
		front := &callerconn.Front{
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				ages <- time.Since(callerconn.Received(r.Context()))
			}),
			MayServeAhead: func(*http.Request) bool { return true },
			Draining:      func() bool { return false },
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		send(conn, "/1", "/2")
		time.Sleep(pause)
		server := &http.Server{Handler: front, ConnContext: front.ConnContext}
		DeferCleanup(server.Close)
		go func() { _ = server.Serve(front.Listener(listener)) }()
		for range 2 {
			var age time.Duration
			Eventually(ages).Should(Receive(&age))
			Expect(age).To(BeNumerically(">=", pause-tolerance))
		}
	})
})
