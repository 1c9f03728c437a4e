package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// cut is what a target writes before it ends the connection.
type cut struct {
	bytes  string
	ending hoptest.Ending
}

// Guards against an answer that breaks off, in its head, its body or between two hosts, and that its caller takes for a
// whole one. What counts is what the caller reads.
var _ = Describe("An answer that breaks off", func() {
	const echo = "X-Attempt: 0123456789abcdef0123456789abcdef\r\n"
	// startCut returns a stack whose only target writes what next holds, and a proxy before its gate.
	startCut := func(next *atomic.Pointer[cut]) (*stack, *hoptest.Target, *hoptest.Proxy) {
		target, err := hoptest.NewTarget(func(conn net.Conn, r *http.Request) bool {
			c := next.Load()
			_, _ = io.WriteString(conn, strings.ReplaceAll(c.bytes, echo, "X-Attempt: "+r.Header.Get("X-Attempt")+"\r\n"))
			c.ending.End(conn)
			return false
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		s := newStack(ginkgoCleaner{})
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
		proxy, err := hoptest.NewProxy(candidate.Gate)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		s.directory.targets = []entry.Candidate{{Target: id.TargetID{Host: "host-t1", Name: "t1"}, Gate: proxy.Address()}}
		return s, target, proxy
	}
	call := func(s *stack, method, path, protocol string) hoptest.Seen {
		return hoptest.Call(s.front.Listener.Addr().String(), fmt.Sprintf(
			"%s %s %s\r\nHost: trails.example\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", method, path, protocol, validKey), method)
	}

	for _, answer := range hoptest.AllAnswers() {
		for path, fields := range map[string]string{"/browse": "X-Note: b\r\n", "/book": echo} {
			It(fmt.Sprintf("at the target: %s, %s", answer.Name, path), func() {
				next := &atomic.Pointer[cut]{}
				s, target, _ := startCut(next)
				_, whole := answer.Wire(fields)
				for _, n := range answer.Cuts(fields) {
					endings := hoptest.Endings[n%3 : n%3+1]
					if len(whole)-n < 3 {
						// Each way to end counts where the answer is nearly or just whole.
						endings = hoptest.Endings
					}
					for _, ending := range endings {
						next.Store(&cut{whole[:n], ending})
						runs := target.Runs()
						seen := call(s, answer.Method, path, "HTTP/1.1")
						note := fmt.Sprintf("%s after %d of %d bytes: %v", ending, n, len(whole), seen)
						if target.Runs() == runs {
							// After a whole answer, the next request may meet the connection just as the target closes it.
							Expect(seen.Whole()).To(BeFalse(), note)
							seen = call(s, answer.Method, path, "HTTP/1.1")
							note = fmt.Sprintf("%s after %d of %d bytes: %v", ending, n, len(whole), seen)
						}
						Expect(target.Runs()).To(BeNumerically(">", runs), note)
						Expect(seen.Stray).To(BeEmpty(), note)
						switch {
						case !answer.Complete(fields, n, ending):
							Expect(seen.Whole()).To(BeFalse(), note)
							// These promise that the request has not run, which the target began to answer.
							Expect(seen.Status).NotTo(BeElementOf(http.StatusServiceUnavailable, http.StatusTooManyRequests), note)
						case ending == hoptest.Reset && (seen.Err != nil || seen.Status >= http.StatusInternalServerError):
						default:
							Expect(seen.Err).NotTo(HaveOccurred(), note)
							Expect(seen.Status).To(Equal(answer.Status), note)
							Expect(answer.Text).To(HavePrefix(seen.Body), note)
							Expect(seen.Body == answer.Text || answer.Open).To(BeTrue(), note)
						}
					}
				}
			})
		}
	}

	for _, answer := range hoptest.Relayed() {
		It("at its host: "+answer.Name, func() {
			_, whole := answer.Wire("")
			next := &atomic.Pointer[cut]{}
			next.Store(&cut{whole, hoptest.Closed})
			s, _, proxy := startCut(next)
			Expect(call(s, answer.Method, "/book", "HTTP/1.1").Status).To(Equal(answer.Status))
			for n := 0; ; n++ {
				ending := hoptest.Endings[n%len(hoptest.Endings)]
				proxy.CutAfter(n, ending)
				seen := call(s, answer.Method, "/book", "HTTP/1.1")
				note := fmt.Sprintf("%s after %d bytes: %v", ending, n, seen)
				Expect(seen.Stray).To(BeEmpty(), note)
				if seen.Whole() {
					Expect(seen.Status).To(Equal(answer.Status), note)
					Expect(seen.Body).To(Equal(answer.Text), note)
					Expect(n).To(BeNumerically(">", 100))
					break
				}
				// Only a cut makes the answer fail.
				Expect(proxy.Disarm()).To(BeTrue(), note)
				if n > 600 && n < len(answer.Text) {
					n += 24 << 10
				}
			}
		})
	}

	// Guards against a caller whose connection is handed to a target that changes the protocol without being asked.
	DescribeTable("or changes the protocol is no answer", func(header string) {
		next := &atomic.Pointer[cut]{}
		next.Store(&cut{"HTTP/1.1 101 Switching Protocols\r\n" + header + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", hoptest.Closed})
		s, target, _ := startCut(next)
		for _, path := range []string{"/browse", "/book"} {
			seen := call(s, http.MethodGet, path, "HTTP/1.1")
			Expect(seen.Err != nil || seen.Status == http.StatusBadGateway).To(BeTrue(), seen.String())
			Expect(seen.Stray).To(BeEmpty())
		}
		Expect(target.Runs()).To(BeNumerically(">=", 2))
	},
		Entry("with an upgrade", "Connection: Upgrade\r\nUpgrade: websocket\r\n"),
		Entry("without one", ""),
	)

	// Guards against an answer without a length that breaks off on its way to a caller of HTTP/1.0, for whom the end of the
	// connection is the end of the answer.
	for _, answer := range hoptest.LongAnswers {
		It("and its caller of HTTP/1.0: "+answer.Name, func() {
			_, whole := answer.Wire("")
			next := &atomic.Pointer[cut]{}
			next.Store(&cut{whole[:len(whole)-9], hoptest.Reset})
			s, _, _ := startCut(next)
			seen := call(s, answer.Method, "/browse", "HTTP/1.0")
			Expect(seen.Whole()).To(BeFalse(), seen.String())
		})
	}
})
