package entry_test

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// noLength hides the length of a reader, so that the request is sent in chunks.
type noLength struct{ io.Reader }

var _ = Describe("bodies", func() {
	var s *stack

	BeforeEach(func() {
		s = newStack(ginkgoCleaner{})
	})

	// Guards against large bodies that are truncated or corrupted.
	DescribeTable("large bodies in both directions",
		func(wrap func(io.Reader) io.Reader) {
			s.directory.service.MaxBodyBytes = 16 << 20
			s.addGate("t1", 1, func(w http.ResponseWriter, r *http.Request) {
				h := sha256.New()
				_, _ = io.Copy(h, r.Body)
				_, _ = io.CopyN(w, zeros{}, 9<<20)
				fmt.Fprintf(w, "%x", h.Sum(nil))
			})
			content := make([]byte, 8<<20)
			_, _ = rand.Read(content)
			got := s.do(s.request(http.MethodPost, "/book", wrap(strings.NewReader(string(content)))))
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(HaveLen(9<<20 + 64))
			Expect(got.body[9<<20:]).To(Equal(fmt.Sprintf("%x", sha256.Sum256(content))))
		},
		Entry("with a length", func(r io.Reader) io.Reader { return r }),
		Entry("in chunks", func(r io.Reader) io.Reader { return noLength{r} }),
	)

	DescribeTable("bodies above the service's limit",
		func(body io.Reader, run problem.Run) {
			s.directory.service.MaxBodyBytes = 100_000
			target := &recordingTarget{}
			s.addGate("t1", 1, target.ServeHTTP)
			got := s.do(s.request(http.MethodPost, "/book", body))
			Expect(got.problem.Code).To(Equal(problem.BodyTooLarge))
			Expect(got.problem.Run).To(Equal(run))
		},
		Entry("stated", strings.NewReader(strings.Repeat("x", 200_000)), problem.NotRun),
		// The target has received the prefix, so the refusal must not state not-run.
		Entry("found out while sending", noLength{strings.NewReader(strings.Repeat("x", 200_000))}, problem.Unknown),
	)

	// Guards against a large booking that fails because its body, which can be read only once, was sent to a gate
	// that refused it.
	It("keeps a large body for another gate when the first one refuses", func() {
		g, _ := s.addGate("t1", 1, (&recordingTarget{}).ServeHTTP)
		g.Drain()
		target := &recordingTarget{}
		s.addGate("t2", 1, target.ServeHTTP)
		body := strings.Repeat("z", 900_000)
		got := s.do(s.request(http.MethodPost, "/book", strings.NewReader(body)))
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(strings.Count(target.dump(), "z")).To(BeNumerically(">=", 900_000))
	})

	// Guards against passing on a target's not-run response as an answer instead of trying another gate.
	It("moves a booking to another gate when the target states that it did not run", func() {
		s.addGate("t1", 1, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Bl-Not-Run", "true")
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		got := s.book()
		Expect(got.problem.Run).To(Equal(problem.NotRun))
		Expect(got.header.Get("Retry-After")).To(Equal("3"))
		s.addGate("t2", 1, (&recordingTarget{}).ServeHTTP)
		Expect(s.book().body).To(Equal("done"))
	})

	// Guards against a target that forges the hop's response headers.
	It("ignores hop headers of targets", func() {
		s.addGate("t1", 1, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Bl-Verdict", "not-run")
			w.Header().Set("Bl-Attempt", strings.Repeat("0", 32))
			fmt.Fprint(w, "ran")
		})
		Expect(s.book().body).To(Equal("ran"))
	})

	// Guards against treating the response to HEAD or an empty response as truncated.
	It("passes responses without a body", func() {
		s.addGate("t1", 1, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "12")
			if r.Method == http.MethodDelete {
				w.Header().Del("Content-Length")
				w.WriteHeader(http.StatusNoContent)
			}
		})
		head := s.do(s.request(http.MethodHead, "/browse", nil))
		Expect(head.err).NotTo(HaveOccurred())
		Expect(head.header.Get("Content-Length")).To(Equal("12"))
		Expect(s.do(s.request(http.MethodDelete, "/browse", nil)).status).To(Equal(http.StatusNoContent))
	})

	// Guards against a queue that exceeds its limit.
	It("refuses above the queue limit", func() {
		s.directory.service.QueueLimit = 0
		release := make(chan struct{})
		g, _ := s.addGate("t1", 1, func(http.ResponseWriter, *http.Request) { <-release })
		// It comes before the target's end, which waits for its handlers, also when an expectation fails.
		DeferCleanup(func() { close(release) })
		go s.book()
		Eventually(func() int { return slotsInUse(g) }).Should(Equal(1))
		// A booking with a short deadline may have the place in the queue when this one arrives.
		go func() {
			for s.book().problem.Code == problem.QueueFull {
			}
		}()
		Eventually(func() problem.Code { return s.bookWithShortDeadline().problem.Code }).Should(Equal(problem.QueueFull))
	})
})

// slotsInUse returns the number of slots in use at the gate's target.
func slotsInUse(g *gate.Gate) int {
	return g.Targets()[0].InFlight
}

// bookWithShortDeadline sends a booking with a short deadline.
func (s *stack) bookWithShortDeadline() answer {
	request := s.request(http.MethodPost, "/book", strings.NewReader("seat"))
	request.Header.Set("Request-Timeout-Ms", "50")
	return s.do(request)
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
