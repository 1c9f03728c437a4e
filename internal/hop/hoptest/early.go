package hoptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// EarlyAnswer is what a process does that answers an upload before it has read it: it reads a part of the upload, answers without a
// length, sends a part of its body and, after a pause, resets the connection.
type EarlyAnswer struct {
	// Read is how many bytes of the upload it reads.
	Read int64
	// Part is the part of the answer's body that it sends.
	Part string
	// Pause is the time between the part of the answer and the reset.
	Pause time.Duration
}

// earlyPart is a short beginning of a body.
const earlyPart = "the beginning of a body"

// EarlyAnswers are answers at many moments of an upload. The longer part is passed on before its connection is
// reset.
func EarlyAnswers() []EarlyAnswer {
	var all []EarlyAnswer
	for _, part := range []string{earlyPart, LongText} {
		all = append(all, earlyAnswers(part)...)
	}
	return all
}

// earlyAnswers are answers with a part of the body.
func earlyAnswers(part string) []EarlyAnswer {
	var all []EarlyAnswer
	for _, read := range []int64{0, 1 << 10, 32 << 10, 100 << 10, 1 << 20} {
		for _, pause := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
			all = append(all, EarlyAnswer{Read: read, Part: part, Pause: pause})
		}
	}
	return all
}

// UploadBytes is the length of an upload that does not fit into the buffers of a connection.
const UploadBytes = 8 << 20

// EarlyTarget answers each request as its next EarlyAnswer says.
type EarlyTarget struct {
	listener net.Listener
	next     atomic.Pointer[EarlyAnswer]
	// answers counts the requests that it has begun to answer.
	answers atomic.Int64
}

// NewEarlyTarget starts a target. fields returns the fields of the answer to a request, each with its line end.
func NewEarlyTarget(fields func(*http.Request) string) (*EarlyTarget, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &EarlyTarget{listener: listener}
	t.next.Store(&EarlyAnswer{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(conn, fields)
		}
	}()
	return t, nil
}

// Address returns the target's address.
func (t *EarlyTarget) Address() string { return t.listener.Addr().String() }

// SetNext sets what the target does from the next request on.
func (t *EarlyTarget) SetNext(a EarlyAnswer) { t.next.Store(&a) }

// Answers returns how many requests the target has begun to answer.
func (t *EarlyTarget) Answers() int { return int(t.answers.Load()) }

// Close ends the listener.
func (t *EarlyTarget) Close() error { return t.listener.Close() }

// serve answers the first request of a connection.
func (t *EarlyTarget) serve(conn net.Conn, fields func(*http.Request) string) {
	defer Reset.End(conn)
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if r.Header.Get("Expect") != "" {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	next := *t.next.Load()
	if _, err := io.CopyN(io.Discard, r.Body, next.Read); err != nil {
		return
	}
	t.answers.Add(1)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fields(r)+"\r\n"+next.Part)
	time.Sleep(next.Pause)
}
