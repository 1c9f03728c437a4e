package targetconn_test

import (
	"context"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// Guards against bytes without a valid status line that are taken for an answer, or for a refusal by the target.
var _ = Describe("What has no valid status line", func() {
	for _, answer := range hoptest.NoAnswers() {
		It("is no answer: "+answer.Name, func() {
			for _, fields := range []string{"Request-Id: 1\r\nSeal: s\r\n", "Request-Id: 1\r\nNot-Run: full\r\n", "Not-Run: full\r\n"} {
				target, err := hoptest.NewTarget(func(conn net.Conn, _ *http.Request) bool { return answer.Send(conn, fields) })
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(target.Close)
				pool := targetconn.New(target.Address())
				for range 2 {
					response, err := pool.Do(context.Background(), newRequest("1"))
					Expect(err).To(HaveOccurred(), "%+v", response)
					var failure *targetconn.Error
					Expect(err).To(BeAssignableToTypeOf(failure))
					failure = err.(*targetconn.Error)
					Expect(failure.Sent).To(BeTrue())
				}
				Expect(target.Conns()).To(Equal(2))
			}
		})
	}

	// Guards against an answer that is lost because informational ones, which are legal, come before it.
	It("is not the matter with an answer behind informational ones", func() {
		target := newRawTarget(func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103\r\nLink: </a>\r\n\r\n"))
			writeResponse(conn, "1", "done")
			return true
		})
		pool := targetconn.New(target.listener.Addr().String())
		for range 2 {
			response, err := pool.Do(context.Background(), newRequest("1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal("done"))
		}
		Expect(int(target.accepted.Load())).To(Equal(1))
	})
})
