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

// Guards against requests on callers' open connections that a stopping daemon reads and leaves without an answer.
var _ = Describe("An open connection of a caller in a planned stop", func() {
	const header = " HTTP/1.1\r\nHost: trails.example\r\nAuthorization: Bearer school-key\r\nRequest-Id: "
	// dial connects to a host and sends a request, whose answer it reads.
	dial := func(h *host) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", h.callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = fmt.Fprint(conn, "GET /browse/first", header, "first\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		return conn, reader
	}
	// status reads an answer.
	status := func(reader *bufio.Reader) int {
		GinkgoHelper()
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}

	It("is not closed as idle while a request arrives on it", func() {
		f := newFleet(1)
		conn, reader := dial(f.hosts[0])
		_, err := fmt.Fprint(conn, "POST /book/split", header)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		f.hosts[0].stop()
		time.Sleep(lateAfter)
		_, err = fmt.Fprint(conn, "split\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(status(reader)).To(Equal(http.StatusServiceUnavailable))
		Expect(f.runsOf("split")).To(BeZero())
		Eventually(f.hosts[0].ended, "5s").Should(BeClosed())
	})

	It("ends only after the answer to a booking that was sent ahead", func() {
		f := newFleet(1)
		started := make(chan struct{}, 2)
		release := make(chan struct{})
		conn, reader := dial(f.hosts[0])
		f.hosts[0].setHandler(func(w http.ResponseWriter, _ *http.Request) {
			started <- struct{}{}
			<-release
			w.Header().Set("Seal", "s")
		})
		_, err := fmt.Fprint(conn, "GET /browse/slow", header, "slow\r\n\r\n", "POST /book/behind", header, "behind\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(started, "2s").Should(Receive())
		// The booking is read behind the request that is being served.
		time.Sleep(50 * time.Millisecond)
		f.hosts[0].stop()
		time.Sleep(50 * time.Millisecond)
		close(release)
		Expect(status(reader)).To(Equal(http.StatusOK))
		Expect(status(reader)).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
		Eventually(f.hosts[0].ended, "5s").Should(BeClosed())
	})
})
