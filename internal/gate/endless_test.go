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
		func(beginning, piece string, end error, verdict string) {
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
			Expect(response.Header.Get(hop.HeaderVerdict)).To(Equal(verdict))
			if end != nil {
				Expect(err).To(MatchError(end))
				Expect(written.Load()).To(BeNumerically("<", kernelBuffers))
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(passed).To(BeNumerically(">", maxHeap))
			}
		},
		Entry("in the status line", "HTTP/1.1 200 ", "x", io.EOF, "unknown"),
		Entry("before any status line", "", "\x00", io.EOF, "unknown"),
		Entry("in a header line", "HTTP/1.1 200 OK\r\nX-Guide: ", "x", io.EOF, "unknown"),
		Entry("in header lines", "HTTP/1.1 200 OK\r\n", "X-Guide: ana\r\n", io.EOF, "unknown"),
		Entry("in informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n", io.EOF, "unknown"),
		// The head was passed on before. The end of the body tells that it is not whole.
		Entry("in the size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", "0", io.ErrUnexpectedEOF, "ran"),
		Entry("in the extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n4;", "x", io.ErrUnexpectedEOF, "ran"),
		Entry("in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n", "A: b\r\n", io.ErrUnexpectedEOF, "ran"),
		Entry("in a body", "HTTP/1.1 200 OK\r\n\r\n", "x", nil, "ran"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", nil, "ran"),
	)
})
