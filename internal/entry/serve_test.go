package entry_test

import (
	"fmt"
	"io"
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
})
