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

	// Guards against large bodies that are cut, mixed up or held in memory as a whole.
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
			target := &targetLog{}
			s.addGate("t1", 1, target.ServeHTTP)
			got := s.do(s.request(http.MethodPost, "/book", body))
			Expect(got.problem.Code).To(Equal(problem.BodyTooLarge))
			Expect(got.problem.Run).To(Equal(run))
		},
		Entry("stated", strings.NewReader(strings.Repeat("x", 200_000)), problem.NotRun),
		// The target has received the beginning, so the refusal must not say that nothing ran.
		Entry("found out while sending", noLength{strings.NewReader(strings.Repeat("x", 200_000))}, problem.Unknown),
	)

	// Guards against a large booking that is lost because its body was spent on a gate that refused it.
	It("keeps a large body for another gate when the first one refuses", func() {
		g, _ := s.addGate("t1", 1, (&targetLog{}).ServeHTTP)
		g.Drain()
		target := &targetLog{}
		s.addGate("t2", 1, target.ServeHTTP)
		body := strings.Repeat("z", 900_000)
		got := s.do(s.request(http.MethodPost, "/book", strings.NewReader(body)))
		Expect(got.status).To(Equal(http.StatusOK), got.body)
		Expect(strings.Count(target.dump(), "z")).To(BeNumerically(">=", 900_000))
	})

	// Guards against a target's "not run" that is treated as an answer.
	It("moves a booking to another gate when the target sheds it", func() {
		s.addGate("t1", 1, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Bl-Not-Run", "true")
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		got := s.book()
		Expect(got.problem.Run).To(Equal(problem.NotRun))
		Expect(got.header.Get("Retry-After")).To(Equal("3"))
		s.addGate("t2", 1, (&targetLog{}).ServeHTTP)
		Expect(s.book().body).To(Equal("done"))
	})

	// Guards against a target that posts a certificate or a verdict of its own.
	It("ignores hop headers of targets", func() {
		s.addGate("t1", 1, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Bl-Verdict", "not-run")
			w.Header().Set("Bl-Attempt", strings.Repeat("0", 32))
			fmt.Fprint(w, "ran")
		})
		Expect(s.book().body).To(Equal("ran"))
	})

	// Guards against a HEAD or empty response that is taken for truncated.
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

	// Guards against a queue that grows without bound or refuses with a false statement.
	It("refuses above the queue limit", func() {
		s.directory.service.QueueLimit = 0
		release := make(chan struct{})
		g, _ := s.addGate("t1", 1, func(http.ResponseWriter, *http.Request) { <-release })
		go s.book()
		go s.book()
		Eventually(func() int { return busy(g) }).Should(Equal(1))
		Eventually(func() problem.Code { return s.bookShort().problem.Code }).Should(Equal(problem.QueueFull))
		close(release)
	})
})

// busy returns the slots in use.
func busy(g *gate.Gate) int {
	return g.Targets()[0].InFlight
}

// bookShort sends a booking with a short deadline.
func (s *stack) bookShort() answer {
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
