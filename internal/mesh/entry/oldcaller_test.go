package entry_test

import (
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
)

// Guards against an answer without a length that breaks off on its way to a caller of HTTP/1.0, for whom the end of the
// connection is the end of the answer.
var _ = Describe("An answer that breaks off on its way to a caller of HTTP/1.0", func() {
	const fields = "Request-Id: cut-1\r\nSeal: s\r\n"
	for _, answer := range hoptest.LongAnswers {
		for _, ending := range hoptest.Endings {
			if answer.Open && ending != hoptest.Reset {
				continue
			}
			It(answer.Name+", "+ending.String(), func() {
				_, whole := answer.Wire(fields)
				c := newChain(func(conn net.Conn, _ *http.Request) bool {
					_, _ = io.WriteString(conn, whole[:len(whole)-9])
					ending.End(conn)
					return false
				})
				request := strings.Replace(chainRequest(answer.Method, "/browse/1", "cut-1", ""), "HTTP/1.1", "HTTP/1.0", 1)
				seen := hoptest.Call(c.callers, request, answer.Method)
				Expect(seen.Whole()).To(BeFalse(), seen.String())
			})
		}
	}
})
