package targetconn_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// bytesReader returns a reader of b.
func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

// newRequest returns a request with an id.
func newRequest(id string) *targetconn.Request {
	return &targetconn.Request{
		Method: "POST", URI: "/a/b?c=%2F", Host: "trails.example", Header: http.Header{"Request-Id": {id}},
		Body: []byte("seats"), Length: 5, IDHeader: "Request-Id",
		IsRefusal: func(r *http.Response) bool {
			return r.StatusCode == http.StatusMisdirectedRequest || r.Header.Get("Not-Run") != ""
		},
	}
}

var _ = Describe("Pool", func() {
	ctx := context.Background()
	sent := func(err error) bool {
		var failure *targetconn.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		return failure.Sent
	}

	It("sends the request unchanged and reuses the connection", func() {
		var seen []string
		target := newRawTarget(func(conn net.Conn, r *http.Request, _ int) bool {
			body, _ := io.ReadAll(r.Body)
			seen = append(seen, fmt.Sprint(r.Method, r.RequestURI, r.Host, string(body), r.UserAgent()))
			writeResponse(conn, r.Header.Get("Request-Id"), "done")
			return true
		})
		pool := targetconn.New(target.listener.Addr().String())
		for _, id := range []string{"1", "2"} {
			response, err := pool.Do(ctx, newRequest(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal("done"))
		}
		Expect(seen).To(Equal([]string{"POST/a/b?c=%2Ftrails.exampleseats", "POST/a/b?c=%2Ftrails.exampleseats"}))
		Expect(int(target.accepted.Load())).To(Equal(1))
	})

	// Guards against a second response that is taken for the response to the next request.
	It("does not reuse a connection with bytes after the response", func() {
		target := newRawTarget(func(conn net.Conn, r *http.Request, _ int) bool {
			id := r.Header.Get("Request-Id")
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nbad", id, id)
			return true
		})
		pool := targetconn.New(target.listener.Addr().String())
		for _, id := range []string{"1", "2"} {
			response, err := pool.Do(ctx, newRequest(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal("ok"))
		}
		Expect(int(target.accepted.Load())).To(Equal(2))
	})

	// Guards against a late extra response that arrives where the next response is expected. The right one must be
	// read.
	It("skips a response to an earlier request", func() {
		target := newRawTarget(func(conn net.Conn, r *http.Request, n int) bool {
			if n == 1 {
				writeResponse(conn, "1", "late")
			}
			writeResponse(conn, r.Header.Get("Request-Id"), "done")
			return true
		})
		pool := targetconn.New(target.listener.Addr().String())
		for _, id := range []string{"1", "2"} {
			response, err := pool.Do(ctx, newRequest(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal("done"))
		}
		Expect(int(target.accepted.Load())).To(Equal(1))
	})

	// Guards against a request that is taken for refused while it runs: a target writes an earlier refusal once more where
	// the answer to the next request is due.
	DescribeTable("does not take a second copy of a refusal for the answer to the next request",
		func(refusal string) {
			target := newRawTarget(func(conn net.Conn, r *http.Request, n int) bool {
				if r.Header.Get("Request-Id") == "1" {
					_, _ = io.WriteString(conn, refusal)
					return true
				}
				if n > 0 {
					_, _ = io.WriteString(conn, refusal)
				}
				writeResponse(conn, r.Header.Get("Request-Id"), "done")
				return true
			})
			pool := targetconn.New(target.listener.Addr().String())
			response, err := pool.Do(ctx, newRequest("1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).NotTo(Equal(http.StatusOK))
			response, err = pool.Do(ctx, newRequest("2"))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal("done"))
		},
		Entry("without an id", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("with a body", "HTTP/1.1 429 Too Many Requests\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"),
		Entry("from another process", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"),
	)

	// Guards against truncated or invalid responses that are taken for complete ones.
	DescribeTable("reports what is no complete answer as sent",
		func(response string, clean bool) {
			target := newRawTarget(func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, response)
				if !clean {
					time.Sleep(10 * time.Millisecond)
					reset(conn)
				}
				return false
			})
			_, err := targetconn.New(target.listener.Addr().String()).Do(ctx, newRequest("1"))
			Expect(err).To(HaveOccurred())
			Expect(sent(err)).To(BeTrue())
		},
		Entry("closed without a response", "", true),
		Entry("truncated in the body", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\ndone", true),
		Entry("truncated in a chunk", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndone", true),
		Entry("without a length, reset", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\ndone", false),
		Entry("not HTTP", "garbage garbage\r\n\r\n", true),
		Entry("with the id of another request", "HTTP/1.1 200 OK\r\nRequest-Id: 9\r\nContent-Length: 4\r\n\r\ndone", true),
		Entry("without a request id", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", true),
		Entry("with a content encoding", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\ndone", true),
	)

	// Guards against a daemon that reads until its memory is used up: a target in trouble may send bytes that are no answer
	// without end, until its caller closes the connection.
	DescribeTable("gives up on bytes without end",
		func(beginning, piece string, limit int64) {
			var written atomic.Int64
			ended := make(chan struct{})
			target := newRawTarget(func(conn net.Conn, _ *http.Request, _ int) bool {
				defer close(ended)
				_, err := io.WriteString(conn, beginning)
				pieces := strings.Repeat(piece, 1+(16<<10)/len(piece))
				for err == nil {
					var n int
					n, err = io.WriteString(conn, pieces)
					written.Add(int64(n))
				}
				return false
			})
			limited, cancel := context.WithTimeout(ctx, 20*time.Second)
			defer cancel()
			pool := targetconn.New(target.listener.Addr().String())
			response, err := pool.Do(limited, newRequest("1"))
			if err == nil && response.Rest != nil {
				_, err = io.Copy(io.Discard, response.Rest)
				Expect(response.Rest.Close()).To(Succeed())
			}
			Expect(err).To(HaveOccurred())
			Expect(limited.Err()).NotTo(HaveOccurred())
			Eventually(ended, "5s").Should(BeClosed())
			// Buffers of the kernel take a part of what the target writes.
			Expect(written.Load()).To(BeNumerically("<", limit+16<<20))
		},
		Entry("in the status line", "HTTP/1.1 200 ", "x", int64(64<<10)),
		Entry("before any status line", "", "\x00", int64(64<<10)),
		Entry("in a header line", "HTTP/1.1 200 OK\r\nRequest-Id: ", "x", int64(64<<10)),
		Entry("in header lines", "HTTP/1.1 200 OK\r\n", "Request-Id: 1\r\n", int64(64<<10)),
		Entry("in informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n", int64(64<<10)),
		Entry("in responses to other requests", "", "HTTP/1.1 200 OK\r\nRequest-Id: 9\r\nContent-Length: 4\r\n\r\ndone", int64(64<<10)),
		Entry("in the body of a response to another request", "HTTP/1.1 200 OK\r\nRequest-Id: 9\r\n\r\n", "x", int64(1<<20)),
		Entry("in a body", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", "x", int64(64<<20)),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", int64(65<<20)),
		Entry("in the extension of a chunk", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x", int64(64<<10)),
		Entry("in a trailer", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\n", "A: b\r\n", int64(64<<10)),
	)

	It("accepts a response without a length that ends when the connection is closed", func() {
		target := newRawTarget(func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\ndone")
			return false
		})
		response, err := targetconn.New(target.listener.Addr().String()).Do(ctx, newRequest("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("done"))
	})

	It("accepts a refusal that does not echo the request id", func() {
		target := newRawTarget(func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		response, err := targetconn.New(target.listener.Addr().String()).Do(ctx, newRequest("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusMisdirectedRequest))
	})

	It("reports a target that cannot be reached as not sent", func() {
		target := newRawTarget(nil)
		address := target.listener.Addr().String()
		Expect(target.listener.Close()).To(Succeed())
		_, err := targetconn.New(address).Do(ctx, newRequest("1"))
		Expect(sent(err)).To(BeFalse())
	})

	// Guards against a request that is lost on an idle connection that the target has closed in the meantime.
	It("does not reuse a connection that the target has closed", func() {
		target := newRawTarget(func(conn net.Conn, r *http.Request, _ int) bool {
			writeResponse(conn, r.Header.Get("Request-Id"), "done")
			return false
		})
		pool := targetconn.New(target.listener.Addr().String())
		for _, id := range []string{"1", "2", "3"} {
			_, err := pool.Do(ctx, newRequest(id))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Millisecond)
		}
		Expect(int(target.accepted.Load())).To(Equal(3))
	})

	// Guards against a request that is written to a connection on which the rest of an earlier request's body is due.
	It("does not reuse a connection whose response came before the request body was sent", func() {
		var requests atomic.Int32
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				requests.Add(1)
				go func() {
					buffer := make([]byte, 1024)
					_, _ = conn.Read(buffer)
					writeResponse(conn, "1", "early")
					time.Sleep(100 * time.Millisecond)
					_ = conn.Close()
				}()
			}
		}()
		pool := targetconn.New(listener.Addr().String())
		for range 2 {
			r := newRequest("1")
			r.Body, r.Rest, r.Length = nil, io.MultiReader(strings.NewReader("x"), stalledBody{}), 1<<20
			response, err := pool.Do(ctx, r)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal("early"))
		}
		Expect(requests.Load()).To(Equal(int32(2)))
	})

	It("streams a long response and reports its truncation", func() {
		long := strings.Repeat("x", 200<<10)
		target := newRawTarget(func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: %d\r\n\r\n%s", len(long)+1, long)
			return false
		})
		response, err := targetconn.New(target.listener.Addr().String()).Do(ctx, newRequest("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Rest).NotTo(BeNil())
		_, err = io.ReadAll(response.Rest)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(response.Rest.Close()).To(Succeed())
	})

	// Guards against a target that continues to work for a caller that has disconnected.
	It("closes the connection when the request is cancelled", func() {
		closed := make(chan struct{})
		target := newRawTarget(func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = conn.Read(make([]byte, 1))
			close(closed)
			return false
		})
		cancelled, cancel := context.WithCancel(ctx)
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := targetconn.New(target.listener.Addr().String()).Do(cancelled, newRequest("1"))
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		Eventually(closed).Should(BeClosed())
	})
})

// stalledBody is a request body that stalls for a second and then fails.
type stalledBody struct{}

// Read implements io.Reader.
func (stalledBody) Read([]byte) (int, error) {
	time.Sleep(time.Second)
	return 0, io.ErrUnexpectedEOF
}
