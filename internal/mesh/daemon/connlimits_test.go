package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// answerTo writes a head to an address, a byte of the body now and then, and returns the status of the answer.
func answerTo(address, head string, everyByte time.Duration) int {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, head)
	Expect(err).NotTo(HaveOccurred())
	if everyByte > 0 {
		go func() {
			for {
				if _, err := io.WriteString(conn, "b"); err != nil {
					return
				}
				time.Sleep(everyByte)
			}
		}()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	return response.StatusCode
}

var _ = Describe("Limits on what callers send", func() {
	// Guards against callers that hold memory for as long as they send a byte now and then.
	It("end a body that comes slowly at the request's deadline", func() {
		f := newFleet(1)
		h := f.hosts[0]
		head := "POST /book/slow HTTP/1.1\r\nHost: trails.example\r\nRequest-Id: slow\r\nAuthorization: Bearer school-key\r\n" +
			fmt.Sprintf("%s: 700\r\nContent-Length: 1000\r\n\r\n", headers.Deadline)
		Expect(answerTo(h.callers, head, 50*time.Millisecond)).To(Equal(http.StatusRequestTimeout))
		Expect(f.runsOf("slow")).To(BeZero())
	})

	// Guards against the operator's limits that are read and not enforced.
	It("are the operator's", func() {
		f := newFleet(1)
		h := f.hosts[0]
		for address, path := range map[string]string{h.callers: "/browse/1", h.probes: "/api/ready"} {
			head := func(n int) string {
				return "GET " + path + " HTTP/1.1\r\nHost: trails.example\r\nRequest-Id: 1\r\nAuthorization: Bearer school-key\r\nX: " +
					strings.Repeat("x", n) + "\r\n\r\n"
			}
			Expect(answerTo(address, head(operatorHeaderBytes-200), 0)).To(Equal(http.StatusOK))
			Expect(answerTo(address, head(operatorHeaderBytes), 0)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
			begun := time.Now()
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHo")
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.SetReadDeadline(begun.Add(10 * operatorHeaderTimeout))).To(Succeed())
			_, err = conn.Read(make([]byte, 1))
			Expect(err).To(Equal(io.EOF))
			Expect(time.Since(begun)).To(BeNumerically(">=", operatorHeaderTimeout))
		}
	})
})
