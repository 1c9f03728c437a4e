package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against callers who choose the host that a target sees, or who get an answer that is no target's.
var _ = Describe("The form of a request target", func() {
	// exchange sends a request line to a host and returns the response's status and body.
	exchange := func(h *host, line string) (int, string) {
		GinkgoHelper()
		conn, err := net.Dial("tcp", h.callers)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: trails.example\r\nRequest-Id: form\r\nAuthorization: Bearer school-key\r\nContent-Length: 0\r\n\r\n", line)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, string(body)
	}

	It("is passed on as it came in origin form, and refused in any other", func() {
		f := newFleet(2)
		for _, h := range f.hosts {
			h.setHandler(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Seal", "s")
				fmt.Fprint(w, r.RequestURI, " ", r.Host)
			})
		}
		for _, uri := range []string{"/book//evil/2f", "/book/a/../b", "/book/%2F%2f?", "/book/?x=//y"} {
			for _, h := range f.hosts {
				status, body := exchange(h, "POST "+uri)
				Expect(status).To(Equal(http.StatusOK), uri)
				Expect(body).To(Equal(uri + " trails.example"))
			}
		}
		runs := f.runsOf("form")
		for _, line := range []string{"POST http://evil.example/book/1", "CONNECT evil.example:80", "OPTIONS *"} {
			status, _ := exchange(f.hosts[0], line)
			Expect(status).To(Equal(http.StatusBadRequest), line)
		}
		Expect(f.runsOf("form")).To(Equal(runs))
	})
})
