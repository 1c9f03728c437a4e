package hoptest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// callerPatience bounds the wait for an answer; it only ends a test that would hang.
const callerPatience = 30 * time.Second

// Seen is an answer as its caller sees it on its connection.
type Seen struct {
	Status int
	Header http.Header
	Body   string
	// Err tells that the answer is not whole.
	Err error
	// Stray is what came behind the answer until the end of the connection.
	Stray string
}

// String implements fmt.Stringer.
func (s Seen) String() string {
	return fmt.Sprintf("status %d, body %.200q, error %v, stray %q", s.Status, s.Body, s.Err, s.Stray)
}

// Whole reports whether the caller takes the answer for a whole one that is no failure.
func (s Seen) Whole() bool {
	return s.Err == nil && s.Status < http.StatusBadRequest
}

// Call sends a request on a connection of its own, the last one of it, and reads the answer and what follows it.
func Call(address, request, method string) Seen {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return Seen{Err: err}
	}
	// See Proxy.pass.
	_ = conn.(*net.TCPConn).SetLinger(0)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callerPatience))
	if _, err := io.WriteString(conn, request); err != nil {
		return Seen{Err: err}
	}
	reader := bufio.NewReader(conn)
	seen := ReadAnswer(reader, method)
	if seen.Err == nil {
		rest, _ := io.ReadAll(reader)
		seen.Stray = string(rest)
	}
	return seen
}

// Upload sends a request with a body of UploadBytes on a connection of its own, and reads the answer while it sends the body.
func Upload(address, head, method string) Seen {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return Seen{Err: err}
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callerPatience))
	if _, err := io.WriteString(conn, head); err != nil {
		return Seen{Err: err}
	}
	go func() {
		// The answer tells whether the body was read.
		_, _ = io.Copy(conn, io.LimitReader(zeros{}, UploadBytes))
	}()
	return ReadAnswer(bufio.NewReader(conn), method)
}

// zeros is a body without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// ReadAnswer reads the next final answer of a connection.
func ReadAnswer(reader *bufio.Reader, method string) Seen {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return Seen{Err: err}
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		body, err := io.ReadAll(response.Body)
		return Seen{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
	}
}
