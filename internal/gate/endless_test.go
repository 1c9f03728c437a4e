package gate_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Guards against a process that runs out of memory because a target sends bytes without end, until its caller closes the
// connection.
var _ = Describe("Bytes without end from a target", func() {
	const (
		// kernelBuffers bounds what the target can write although nobody reads it.
		kernelBuffers = 16 << 20
		// maxHeap bounds the memory that an attempt takes, the target's own included.
		maxHeap = 32 << 20
	)
	DescribeTable("are not kept",
		func(beginning, piece string, endsByItself bool) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			var written atomic.Int64
			ended := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer close(ended)
				if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, err = io.WriteString(conn, beginning)
				}
				pieces := strings.Repeat(piece, 1+(16<<10)/len(piece))
				for err == nil {
					var n int
					n, err = io.WriteString(conn, pieces)
					written.Add(int64(n))
				}
			}()
			g := startGate(listener.Addr())
			server := httptest.NewServer(g)
			DeferCleanup(server.Close)
			request, err := http.NewRequest(http.MethodGet, server.URL+hop.Path, nil)
			Expect(err).NotTo(HaveOccurred())
			hop.Request{
				Attempt: id.AttemptID{1}, Remaining: time.Minute, Customer: "alpha", Service: "walks",
				Class: hop.Once, KeyID: "key-1", ValidUntil: g.Clock(), URI: "/",
			}.Encode(request.Header)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			// More than could be kept, if it does not end by itself.
			passed, err := io.CopyN(io.Discard, response.Body, maxHeap+1)
			Expect(response.Body.Close()).To(Succeed())
			runtime.ReadMemStats(&after)
			Eventually(ended, "5s").Should(BeClosed())
			Expect(after.HeapSys).To(BeNumerically("<", before.HeapSys+maxHeap))
			if endsByItself {
				Expect(err).To(MatchError(io.EOF))
				Expect(written.Load()).To(BeNumerically("<", kernelBuffers))
				Expect(response.Header.Get(hop.HeaderVerdict)).To(Equal("unknown"))
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(passed).To(BeNumerically(">", maxHeap))
			}
		},
		Entry("in the status line", "HTTP/1.1 200 ", "x", true),
		Entry("before any status line", "", "\x00", true),
		Entry("in a header line", "HTTP/1.1 200 OK\r\nX-Guide: ", "x", true),
		Entry("in header lines", "HTTP/1.1 200 OK\r\n", "X-Guide: ana\r\n", true),
		Entry("in informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n", true),
		Entry("in a body", "HTTP/1.1 200 OK\r\n\r\n", "x", false),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", false),
	)
})
