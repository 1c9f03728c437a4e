package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lateAfter is longer than callers are served after the stop signal with the harness's grace period of 1 s, and shorter
// than that period.
const lateAfter = 650 * time.Millisecond

// Guards against requests that a stopping daemon takes late in its grace period, passes on to a target and cuts off when
// the period ends. A server that shuts down closes idle connections, but not those on which nothing has been sent yet.
var _ = Describe("A request that comes late in a planned stop", func() {
	const head = "POST /book/late HTTP/1.1\r\nHost: trails.example\r\nRequest-Id: late\r\nAuthorization: Bearer school-key\r\nContent-Length: 5\r\n\r\n"
	// stopWithConn stops the first of two hosts, whose targets take long, while a caller holds a connection to it.
	stopWithConn := func(first string) (*fleet, net.Conn) {
		f := newFleet(2)
		for _, h := range f.hosts {
			h.setHandler(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(2 * time.Second):
				case <-r.Context().Done():
				}
				w.Header().Set("Seal", "s")
			})
		}
		conn, err := net.Dial("tcp", f.hosts[0].callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, first)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		f.hosts[0].stop()
		time.Sleep(lateAfter)
		return f, conn
	}
	// expectRefused expects a refusal that is true.
	expectRefused := func(f *fleet, conn net.Conn) {
		GinkgoHelper()
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable), string(body))
		Expect(string(body)).To(ContainSubstring("draining"))
		Expect(response.Close).To(BeTrue())
		Eventually(f.hosts[0].ended, "5s").Should(BeClosed())
		Expect(f.runsOf("late")).To(BeZero())
	}

	It("is refused on a connection on which nothing was sent before", func() {
		f, conn := stopWithConn("")
		_, err := fmt.Fprint(conn, head, "seats")
		Expect(err).NotTo(HaveOccurred())
		expectRefused(f, conn)
	})

	It("is refused if its header came in time and its body did not", func() {
		f, conn := stopWithConn(head + "se")
		_, err := fmt.Fprint(conn, "ats")
		Expect(err).NotTo(HaveOccurred())
		expectRefused(f, conn)
	})
})
