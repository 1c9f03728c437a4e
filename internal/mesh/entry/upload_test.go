package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// uploadPolicy is a policy with an upload route whose callers may pause for 200 ms.
func uploadPolicy() *policy.Snapshot {
	snapshot, err := policy.Build(policy.Document{
		Version: 7, Services: []string{"walks"}, Bounds: policy.Bounds{IdleTimeout: 200 * time.Millisecond, BodyBytes: 10 << 20},
		Routes: []policy.Route{{
			ID: "photos", Host: "trails.example", Prefix: "/photos/", Public: true, MaxAttempts: 2, Timeout: 10 * time.Second,
			Services: []policy.WeightedService{{Service: "walks", Weight: 1}},
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	return snapshot
}

// receive returns a gate that takes an upload and passes on what follows the buffered beginning of its body.
func receive(rest func(io.Reader) *link.Result) gateFunc {
	return func(_ context.Context, a *link.Attempt, s link.Signals) *link.Result {
		s.Started()
		a.Body.MarkSent()
		return rest(a.Body.Rest)
	}
}

// uploadTo begins an upload to a server: it sends the header and the first bytes of a body.
func uploadTo(server *httptest.Server, length, first int) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /photos/1 HTTP/1.1\r\nHost: trails.example\r\nRequest-Id: r1\r\nContent-Length: %d\r\n\r\n%s",
		length, strings.Repeat("x", first))
	Expect(err).NotTo(HaveOccurred())
	return conn
}

var _ = Describe("Uploads", func() {
	// Guards against a caller that stalls in the middle of a body and holds a slot until its deadline.
	It("take no slot until the beginning of the body has arrived", func() {
		h := newHarness(2)
		h.snapshot = uploadPolicy()
		server := httptest.NewServer(h.entry)
		DeferCleanup(server.Close)
		started := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(uploadTo(server, 1000, 10)), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		Expect(h.attempts()).To(BeEmpty())
	})

	It("end when the caller stalls while the body is streamed", func() {
		h := newHarness(2)
		h.snapshot = uploadPolicy()
		h.setGates(receive(func(rest io.Reader) *link.Result {
			_, err := io.Copy(io.Discard, rest)
			return &link.Result{Verdict: hop.Unknown, Reason: link.TargetBroken, Err: err}
		}))
		server := httptest.NewServer(h.entry)
		DeferCleanup(server.Close)
		started := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(uploadTo(server, 200<<10, 100<<10)), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
		Expect(h.attempts()).To(HaveLen(1))
	})

	It("may pause for less than the bound, as often as they like", func() {
		h := newHarness(2)
		h.snapshot = uploadPolicy()
		h.setGates(receive(func(rest io.Reader) *link.Result {
			n, err := io.Copy(io.Discard, rest)
			Expect(err).NotTo(HaveOccurred())
			Expect(link.MaxBufferedBody + int(n)).To(Equal(200 << 10))
			return &link.Result{Verdict: hop.Ran, Reason: link.Answered, Status: http.StatusOK, Header: http.Header{}}
		}))
		server := httptest.NewServer(h.entry)
		DeferCleanup(server.Close)
		conn := uploadTo(server, 200<<10, 100<<10)
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			_, err := io.WriteString(conn, strings.Repeat("y", 10<<10))
			Expect(err).NotTo(HaveOccurred())
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against a long body that is refused by one full gate and given up, although no byte of it was sent.
	It("go to another host after a refusal, however long they are", func() {
		h := newHarness(3)
		h.snapshot = uploadPolicy()
		h.setFirstGate(refuse(link.Reason(slots.Full), 50*time.Millisecond), answer(http.StatusOK))
		response := h.do("POST", "/photos/1", strings.Repeat("x", 1<<20))
		Expect(response.Code).To(Equal(http.StatusOK))
		Expect(h.attempts()).To(HaveLen(2))
	})

	// Guards against a body that is sent twice, and incomplete the second time.
	It("are sent once after a part was read", func() {
		h := newHarness(3)
		h.snapshot = uploadPolicy()
		h.setGates(receive(func(rest io.Reader) *link.Result {
			_, _ = rest.Read(make([]byte, 1000))
			return &link.Result{Verdict: hop.NotRun, Reason: link.TargetDeclined}
		}))
		response := h.do("POST", "/photos/1", strings.Repeat("x", 1<<20))
		Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(h.attempts()).To(HaveLen(1))
	})
})
