package entry_test

import (
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
)

// Guards against bytes of a target that are no answer and reach its caller as one, end the caller's connection, or count as
// proof that the request did not run.
var _ = Describe("What a target sends in place of an answer", func() {
	for _, answer := range hoptest.NoAnswers() {
		It("is a bad gateway: "+answer.Name, func() {
			for _, fields := range []string{"Request-Id: none-1\r\nSeal: s\r\n", "Request-Id: none-1\r\nSeal: s\r\nNot-Run: full\r\n"} {
				for path, local := range map[string]bool{"/browse/1": false, "/browse/2": true, "/book/1": true, "/book/2": false} {
					c := newChain(func(conn net.Conn, _ *http.Request) bool { return answer.Send(conn, fields) })
					c.local = local
					seen := hoptest.Call(c.callers, chainRequest(http.MethodGet, path, "none-1", "Connection: close\r\n"), http.MethodGet)
					Expect(seen.Err).NotTo(HaveOccurred(), "%s, local %t", path, local)
					Expect(seen.Status).To(Equal(http.StatusBadGateway), "%s, local %t: %v", path, local, seen)
					Expect(seen.Header).NotTo(HaveKey("Seal"))
					Expect(seen.Stray).To(BeEmpty())
					Expect(c.target.Runs()).To(Equal(1))
				}
			}
		})
	}
})
