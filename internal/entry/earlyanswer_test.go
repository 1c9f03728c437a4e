package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// Guards against the beginning of an answer that a caller takes for a whole one, because the connection of its target was reset while
// the upload was still being written (MIXED).
var _ = Describe("An answer to an upload that is still written", func() {
	// An answer to a caller of HTTP/1.0 that breaks off takes a while.
	for protocol, rounds := range map[string]int{"1.1": 3, "1.0": 1} {
		It("is not whole for a caller of HTTP/"+protocol+" when the target resets its connection", func() {
			target, err := hoptest.NewEarlyTarget(func(r *http.Request) string { return "X-Attempt: " + r.Header.Get("X-Attempt") + "\r\n" })
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(target.Close)
			s := newStack(ginkgoCleaner{})
			s.directory.service.MaxBodyBytes = 2 * hoptest.UploadBytes
			g, candidate := s.addGate("t1", 8, nil)
			Expect(s.announce(g, "t1", target.Address(), 8, targetapi.Serving)).To(Equal(http.StatusNoContent))
			// A target that does not go on announcing itself is used for some seconds only.
			announcing, stop := context.WithCancel(context.Background())
			DeferCleanup(stop)
			go func() {
				for clock.Sleep(announcing, time.Second) {
					s.announce(g, "t1", target.Address(), 8, targetapi.Serving)
				}
			}()
			s.directory.targets = []entry.Candidate{{Target: id.TargetID{Host: "host-t1", Name: "t1"}, Gate: candidate.Gate}}
			for _, early := range hoptest.EarlyAnswers() {
				for range rounds {
					target.SetNext(early)
					head := fmt.Sprintf("POST /book HTTP/%s\r\nHost: trails.example\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
						protocol, validKey, hoptest.UploadBytes)
					seen := hoptest.Upload(s.front.Listener.Addr().String(), head, http.MethodPost)
					Expect(seen.Whole()).To(BeFalse(), "%v after %d bytes: %v", early.Pause, early.Read, seen)
				}
			}
			Expect(target.Answers()).To(BeNumerically(">", 0))
		})
	}
})
