package hoptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Target answers requests with bytes of the test's choice.
type Target struct {
	listener net.Listener
	// runs counts the requests that it has answered or begun to answer.
	runs atomic.Int64
	// conns counts its connections.
	conns atomic.Int64
}

// NewTarget starts a target. respond writes the answer to a request and reports whether the connection stays open; if
// not, it has ended it.
func NewTarget(respond func(conn net.Conn, r *http.Request) bool) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.conns.Add(1)
			go t.serve(conn, respond)
		}
	}()
	return t, nil
}

// Address returns the target's address.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Runs returns how many requests reached the target.
func (t *Target) Runs() int { return int(t.runs.Load()) }

// Conns returns how many connections the target got.
func (t *Target) Conns() int { return int(t.conns.Load()) }

// Close ends the listener.
func (t *Target) Close() error { return t.listener.Close() }

// serve answers the requests of one connection.
func (t *Target) serve(conn net.Conn, respond func(net.Conn, *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		t.runs.Add(1)
		if !respond(conn, r) {
			return
		}
	}
}
