package targetconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// cut is what a target writes before it ends the connection.
type cut struct {
	bytes  string
	ending hoptest.Ending
}

// newCutTarget starts a target that writes what next holds. It is one for many connections, since the system has few ports.
func newCutTarget(next *atomic.Pointer[cut]) (*hoptest.Target, error) {
	return hoptest.NewTarget(func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, next.Load().bytes)
		next.Load().ending.End(conn)
		return false
	})
}

// Guards against an answer that breaks off and is taken for a whole one.
var _ = Describe("An answer that breaks off", func() {
	const fields = "Request-Id: 1\r\nSeal: 3e1b.07.5a2\r\n"
	for _, answer := range hoptest.AllAnswers() {
		It(answer.Name+" is whole only with its last byte", func() {
			var next atomic.Pointer[cut]
			target, err := newCutTarget(&next)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(target.Close)
			_, whole := answer.Wire(fields)
			for _, ending := range hoptest.Endings {
				for _, n := range answer.Cuts(fields) {
					next.Store(&cut{whole[:n], ending})
					request := newRequest("1")
					request.Method = answer.Method
					response, err := targetconn.New(target.Address()).Do(context.Background(), request)
					body := ""
					if err == nil {
						body = string(response.Body)
						if response.Rest != nil {
							var rest []byte
							rest, err = io.ReadAll(response.Rest)
							body += string(rest)
							Expect(response.Rest.Close()).To(Succeed())
						}
					}
					if !answer.Complete(fields, n, ending) {
						Expect(err).To(HaveOccurred(), "%s after %d of %d bytes", ending, n, len(whole))
						continue
					}
					if err == nil {
						Expect(response.Status).To(Equal(answer.Status))
						Expect(answer.Text).To(HavePrefix(body), "%s after %d of %d bytes", ending, n, len(whole))
					}
					if ending != hoptest.Reset {
						Expect(err).NotTo(HaveOccurred(), "%s after %d of %d bytes", ending, n, len(whole))
					}
				}
			}
		})
	}
})
