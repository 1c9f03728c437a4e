package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// Guards against bytes of a target that are no answer and reach its caller as one, end the caller's connection, or count as
// proof that the request did not run.
var _ = Describe("What a target sends in place of an answer", func() {
	for _, answer := range hoptest.NoAnswers() {
		It("is a bad gateway: "+answer.Name, func() {
			for _, mark := range []string{"", "Bl-Not-Run: true\r\n"} {
				target, err := hoptest.NewTarget(func(conn net.Conn, r *http.Request) bool {
					return answer.Send(conn, "X-Attempt: "+r.Header.Get("X-Attempt")+"\r\nX-Seal: s\r\n"+mark)
				})
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(target.Close)
				s := newStack(ginkgoCleaner{})
				g, _ := s.addGate("t1", 8, nil)
				Expect(s.announce(g, "t1", target.Address(), 8, targetapi.Serving)).To(Equal(http.StatusNoContent))
				announcing, stop := context.WithCancel(context.Background())
				DeferCleanup(stop)
				go func() {
					for clock.Sleep(announcing, time.Second) {
						s.announce(g, "t1", target.Address(), 8, targetapi.Serving)
					}
				}()
				for _, path := range []string{"/browse", "/book"} {
					runs := target.Runs()
					seen := hoptest.Call(s.front.Listener.Addr().String(), fmt.Sprintf(
						"GET %s HTTP/1.1\r\nHost: trails.example\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", path, validKey), http.MethodGet)
					Expect(seen.Err).NotTo(HaveOccurred(), path)
					Expect(seen.Status).To(Equal(http.StatusBadGateway), "%s: %v", path, seen)
					Expect(seen.Header).NotTo(HaveKey("X-Seal"))
					Expect(seen.Stray).To(BeEmpty())
					if path == "/book" {
						Expect(target.Runs() - runs).To(Equal(1))
					}
				}
				Expect(target.Conns()).To(Equal(target.Runs()))
			}
		})
	}
})
