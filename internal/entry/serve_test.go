package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a served request", func() {
	// Guards against a request or response that is changed between caller and target, and against hop headers that
	// reach the caller.
	It("passes method, URI, body and answer through", func() {
		s := newStack(ginkgoCleaner{})
		s.addGate("t1", 2, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("X-Guide", "ana")
			w.WriteHeader(http.StatusCreated)
			fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, r.Header.Get("X-Customer-Id"), body)
		})
		got := s.do(s.request(http.MethodPost, "/book?seat=2", strings.NewReader("two seats")))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusCreated))
		Expect(got.body).To(Equal("POST /book?seat=2 alpha two seats"))
		Expect(got.header.Get("X-Guide")).To(Equal("ana"))
		for name := range got.header {
			Expect(name).NotTo(HavePrefix("Bl-"))
		}
	})

	// Guards against a request target that reaches the target with other bytes than the caller's.
	DescribeTable("passes a request target on byte for byte, or refuses it",
		func(line string, want string) {
			s := newStack(ginkgoCleaner{})
			s.addGate("t1", 2, func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintf(w, "%s at %s", r.RequestURI, r.Host)
			})
			conn, err := net.Dial("tcp", s.front.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: trails.example\r\nAuthorization: Bearer %s\r\n\r\n", line, validKey)
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			if want == "" {
				Expect(response.StatusCode).To(Equal(http.StatusBadRequest), string(body))
				return
			}
			Expect(string(body)).To(Equal(want))
		},
		Entry("two slashes at the beginning", "//forms/1", "//forms/1 at trails.example"),
		Entry("empty segments", "/forms//1?a=//b", "/forms//1?a=//b at trails.example"),
		Entry("percent signs", "/forms/%2F%2f%41?", "/forms/%2F%2f%41? at trails.example"),
		Entry("an absolute form", "http://trails.example/forms/1", "/forms/1 at trails.example"),
		Entry("characters that must be encoded", "/forms/a|b", ""),
		Entry("an asterisk", "*", ""),
	)
})
