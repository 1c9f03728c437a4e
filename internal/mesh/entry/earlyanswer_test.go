package entry_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
)

// Guards against the beginning of an answer that a caller takes for a whole one, because the connection of its target was reset while
// the upload was still being written (MIXED).
var _ = Describe("An answer to an upload that is still written", func() {
	DescribeTable("is not whole for the caller when the target resets its connection",
		func(local bool, protocol string, rounds int) {
			target, err := hoptest.NewEarlyTarget(func(*http.Request) string { return "Request-Id: cut-1\r\nSeal: 3e1b.07.5a2\r\n" })
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(target.Close)
			c := newChainTo(target.Address())
			c.local = local
			for _, early := range hoptest.EarlyAnswers() {
				for range rounds {
					target.SetNext(early)
					c.renewEntry()
					answers := target.Answers()
					head := fmt.Sprintf("POST /book/1 HTTP/%s\r\nHost: trails.example\r\nRequest-Id: cut-1\r\nAuthorization: Bearer school-key\r\n"+
						"Content-Length: %d\r\n\r\n", protocol, hoptest.UploadBytes)
					seen := hoptest.Upload(c.callers, head, http.MethodPost)
					note := fmt.Sprintf("%v after %d bytes: %v", early.Pause, early.Read, seen)
					Expect(seen.Whole()).To(BeFalse(), note)
					if target.Answers() > answers && seen.Err == nil {
						// Only 502 and 504 promise nothing.
						Expect(seen.Status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), note)
					}
				}
			}
			Expect(target.Answers()).To(BeNumerically(">", 0))
		},
		Entry("at its own host", true, "1.1", 3),
		Entry("at another host", false, "1.1", 3),
		Entry("at another host, a caller of HTTP/1.0", false, "1.0", 1),
	)
})
