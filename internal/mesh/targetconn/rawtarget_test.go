package targetconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rawTarget responds to requests with raw bytes chosen by the test.
type rawTarget struct {
	listener net.Listener
	accepted atomic.Int32
	// respond writes the response to a request; n counts the requests of the connection from zero. It reports whether the
	// connection stays open.
	respond func(conn net.Conn, r *http.Request, n int) bool
}

// newRawTarget returns a target that listens until the spec ends.
func newRawTarget(respond func(conn net.Conn, r *http.Request, n int) bool) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &rawTarget{listener: listener, respond: respond}
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.accepted.Add(1)
			go t.serve(conn)
		}
	}()
	return t
}

// serve responds to the requests of one connection.
func (t *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytesReader(body))
		if !t.respond(conn, r, n) {
			return
		}
	}
}

// writeResponse sends a response that echoes a request id.
func writeResponse(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
