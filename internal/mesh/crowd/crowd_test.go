package crowd_test

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// holdTime is how long the callers of a crowd stay connected after they have sent what they send.
const holdTime = 1500 * time.Millisecond

// crowd is a number of callers that do the same.
type crowd struct {
	callers int
	// send writes to one connection. It returns when it has nothing more to write, at an error, or when over is closed.
	send func(conn net.Conn, path string, over <-chan struct{})
	// reads says that the callers take what they are sent.
	reads bool
}

// attack lets the callers connect and send, holds their connections, and closes them.
func (c crowd) attack(address, path string) {
	over := make(chan struct{})
	var sent, all sync.WaitGroup
	for range c.callers {
		conn, err := net.DialTimeout("tcp", address, 5*time.Second)
		if err != nil {
			// A process that accepts no more connections has refused this caller.
			continue
		}
		if !c.reads {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		}
		_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
		sent.Add(1)
		all.Go(func() {
			defer func() { _ = conn.Close() }()
			if c.reads {
				go func() { _, _ = io.Copy(io.Discard, conn) }()
			}
			c.send(conn, path, over)
			sent.Done()
			<-over
		})
	}
	done := make(chan struct{})
	go func() { sent.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		// Callers that send slowly, or whose process takes no more, go on until the end.
	}
	time.Sleep(holdTime)
	close(over)
	all.Wait()
}

// shortFields returns header fields of ten bytes each.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "a%04x: b\r\n", i)
	}
	return b.String()
}

// write writes text to a connection. Errors are ignored: the process may refuse a caller at any time.
func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// inPieces writes text in pieces with pauses until over is closed.
func inPieces(conn net.Conn, text string, size int, pause time.Duration, over <-chan struct{}) {
	for len(text) > 0 {
		n := min(size, len(text))
		if !write(conn, text[:n]) {
			return
		}
		text = text[n:]
		select {
		case <-over:
			return
		case <-time.After(pause):
		}
	}
}

// endless writes the same text until over is closed.
func endless(conn net.Conn, text string, over <-chan struct{}) {
	for write(conn, text) {
		select {
		case <-over:
			return
		default:
		}
	}
}

// The fields of a head of legal size, and those of a head that is over the operator's limit.
var legalFields, manyFields = shortFields(1500), shortFields(2500)

// bodyBytes is the length of a body of legal size, body is all but its last byte.
const bodyBytes = 256 << 10

var body = strings.Repeat("b", bodyBytes-1)

// kinds are the crowds.
var kinds = map[string]crowd{
	"unfinished heads of many short fields": {callers: 500, send: func(conn net.Conn, path string, _ <-chan struct{}) {
		write(conn, head(http.MethodGet, path)+manyFields)
	}},
	"whole heads of many short fields with an unfinished body": {callers: 700, send: func(conn net.Conn, path string, _ <-chan struct{}) {
		write(conn, head(http.MethodPost, path)+legalFields+"Content-Length: 1000\r\n\r\nb")
	}},
	"unfinished bodies": {callers: 300, send: func(conn net.Conn, path string, _ <-chan struct{}) {
		write(conn, head(http.MethodPost, path)+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)+body)
	}},
	"bodies in small pieces": {callers: 300, send: func(conn net.Conn, path string, over <-chan struct{}) {
		inPieces(conn, head(http.MethodPost, path)+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)+body, 700, 5*time.Millisecond, over)
	}},
	"unfinished chunked bodies": {callers: 300, send: func(conn net.Conn, path string, _ <-chan struct{}) {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 1000, body[:1000])
		write(conn, head(http.MethodPost, path)+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat(chunk, bodyBytes/1000))
	}},
	"chunked bodies without end": {callers: 60, send: func(conn net.Conn, path string, over <-chan struct{}) {
		write(conn, head(http.MethodPost, path)+"Transfer-Encoding: chunked\r\n\r\n")
		endless(conn, fmt.Sprintf("%x\r\n%s\r\n", len(body), body), over)
	}},
	"bodies far over the limit": {callers: 60, send: func(conn net.Conn, path string, over <-chan struct{}) {
		write(conn, head(http.MethodPost, path)+fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(maxBody)*16))
		endless(conn, body, over)
	}},
	"pipelined requests whose answers are not read": {callers: 150, send: func(conn net.Conn, path string, _ <-chan struct{}) {
		write(conn, strings.Repeat(head(http.MethodGet, path)+"\r\n", 300))
	}},
	"pipelined requests of many short fields": {callers: 250, send: func(conn net.Conn, path string, _ <-chan struct{}) {
		write(conn, strings.Repeat(head(http.MethodGet, path)+legalFields+"\r\n", 20))
	}},
	"long answers that are not read": {callers: 200, send: func(conn net.Conn, path string, _ <-chan struct{}) {
		write(conn, strings.Repeat(head(http.MethodGet, path+longMark)+"\r\n", 4))
	}},
	"slow heads": {callers: 500, reads: true, send: func(conn net.Conn, path string, over <-chan struct{}) {
		inPieces(conn, head(http.MethodGet, path)+manyFields, 400, 100*time.Millisecond, over)
	}},
	"more connections than descriptors": {callers: maxFiles + 400, send: func(conn net.Conn, _ string, _ <-chan struct{}) {
		write(conn, "G")
	}},
}

// place is where a crowd sends to.
type place struct {
	path    string
	address func(*mesh) string
}

// places are the ports and paths of the daemon beside a target.
var places = map[string]place{
	"a route":                 {path: "/walks/", address: func(m *mesh) string { return m.callers }},
	"an upload route":         {path: "/photos/", address: func(m *mesh) string { return m.callers }},
	"a path without a route":  {path: "/none/", address: func(m *mesh) string { return m.callers }},
	"the readiness port":      {path: "/api/ready", address: func(m *mesh) string { return m.ready }},
	"the port of other hosts": {path: "/", address: func(m *mesh) string { return m.peers }},
	"the heartbeats' port":    {path: "/api/Instances.Heartbeat/x", address: func(m *mesh) string { return m.heartbeats }},
}

// Guards against callers that exhaust the memory or the descriptors of a host, or make the daemon deaf.
var _ = Describe("The mesh daemon under a crowd", func() {
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		for _, where := range slices.Sorted(maps.Keys(places)) {
			c, at := kinds[kind], places[where]
			It(fmt.Sprintf("stays within its limits: %s at %s", kind, where), func() {
				m := startMesh()
				c.attack(at.address(m), at.path)
				m.expectWithin(memoryMB, maxFiles)
				Eventually(m.ordinary, "20s", "200ms").Should(Equal(http.StatusOK))
				Expect(m.isReady()).To(Equal(http.StatusOK))
			})
		}
	}
})
