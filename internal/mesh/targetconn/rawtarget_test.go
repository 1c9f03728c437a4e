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

// rawTarget answers requests with bytes that tests choose.
type rawTarget struct {
	listener net.Listener
	accepted atomic.Int32
	// answer writes the answer to a request; n counts the requests of the connection from zero. It reports whether the
	// connection goes on.
	answer func(conn net.Conn, r *http.Request, n int) bool
}

// newRawTarget returns a target that listens until the spec ends.
func newRawTarget(answer func(conn net.Conn, r *http.Request, n int) bool) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &rawTarget{listener: listener, answer: answer}
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

// serve answers the requests of one connection.
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
		if !t.answer(conn, r, n) {
			return
		}
	}
}

// write sends an answer for a request id.
func write(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
