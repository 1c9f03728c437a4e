package connlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/connlimit"
	"buckthornlatch.example/buckthornlatch/internal/mesh/memaccount"
)

// served is a server with a guard.
type served struct {
	address string
	account *memaccount.Account

	mu      sync.Mutex
	reasons map[connlimit.Reason]int
	runs    int
}

// count implements Config.Count.
func (s *served) count(_ memaccount.Owner, reason connlimit.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reasons[reason]++
}

// seen returns how often a reason was counted.
func (s *served) seen(reason connlimit.Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reasons[reason]
}

// handled returns the number of requests that reached the handler.
func (s *served) handled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// limits are those of the tests.
var limits = connlimit.Limits{
	HeaderBytes: 16 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second, WriteTimeout: 300 * time.Millisecond,
}

// serve starts a server that answers with the length of the body, or with long answers.
func serve(t *testing.T, memory int64, descriptors int) *served {
	s := &served{account: memaccount.Plan(memory, descriptors), reasons: map[connlimit.Reason]int{}}
	guard := connlimit.New(connlimit.Config{
		Account: s.account, Owner: memaccount.Callers, Clock: clock.NewSystem(), Limits: func() connlimit.Limits { return limits }, Count: s.count,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.runs++
		s.mu.Unlock()
		if r.URL.Path == "/long" {
			_, _ = w.Write(make([]byte, 64<<20))
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(w, "%s %d %v", r.URL.Path, n, err)
	})}
	guard.Attach(server)
	go func() { _ = server.Serve(guard.Reading(guard.Accepting(listener))) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// dial connects to the server.
func (s *served) dial(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// expect reads an answer and checks its status and body.
func expect(t *testing.T, reader *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status || string(got) != body {
		t.Fatalf("%d %q %v, not %d %q", response.StatusCode, got, err, status, body)
	}
	return response
}

// TestOrdinaryTraffic guards against changed bytes, lost pipelined requests and connections that are not kept, whatever the pieces are in
// which requests come.
func TestOrdinaryTraffic(t *testing.T) {
	s := serve(t, 184<<20, 4100)
	long := strings.Repeat("b", 200<<10)
	all := "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" +
		"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello" +
		"POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" +
		"GET /4 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 10<<10) + "\r\n\r\n" +
		fmt.Sprintf("POST /5 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(long), long) +
		"GET /6 HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, size := range []int{1 << 30, 4096, 977, 61} {
		conn := s.dial(t)
		go func() {
			for rest := all; rest != ""; {
				n := min(size, len(rest))
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		reader := bufio.NewReader(conn)
		for i, n := range []int{0, 5, 5, 0, len(long), 0} {
			expect(t, reader, http.StatusOK, fmt.Sprintf("/%d %d <nil>", i+1, n))
		}
	}
	conn := s.dial(t)
	reader := bufio.NewReader(conn)
	for range 3 {
		_, _ = io.WriteString(conn, "POST /c HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusContinue {
			t.Fatal(response, err)
		}
		_, _ = io.WriteString(conn, "ok")
		expect(t, reader, http.StatusOK, "/c 2 <nil>")
		time.Sleep(limits.HeaderTimeout + 100*time.Millisecond)
	}
	if len(s.reasons) != 0 {
		t.Errorf("refused %v", s.reasons)
	}
}

// TestLargeHead guards against heads over the operator's limit, whole or not, that are passed on, and against their callers not getting
// the answer.
func TestLargeHead(t *testing.T) {
	s := serve(t, 184<<20, 4100)
	for _, head := range []string{"X: " + strings.Repeat("x", limits.HeaderBytes) + "\r\n\r\n", strings.Repeat("a: b\r\n", 10000)} {
		conn := s.dial(t)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+head)
		expect(t, bufio.NewReader(conn), http.StatusRequestHeaderFieldsTooLarge, "")
	}
	conn := s.dial(t)
	_, _ = io.WriteString(conn, "GET /fits HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", limits.HeaderBytes-17)+"\r\n\r\n")
	expect(t, bufio.NewReader(conn), http.StatusOK, "/fits 0 <nil>")
	if s.handled() != 1 || s.seen(connlimit.HeadTooLarge) != 2 {
		t.Errorf("%d handled, refused %v", s.handled(), s.reasons)
	}
}

// TestFullAccount guards against a request that runs although it was refused, and against memory that stays charged.
func TestFullAccount(t *testing.T) {
	// The account has a tenth of what the head costs.
	s := serve(t, 256<<10, 4100)
	head := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a: b\r\n", 2000) + "\r\n"
	conn := s.dial(t)
	_, _ = io.WriteString(conn, head)
	if retry := expect(t, bufio.NewReader(conn), http.StatusServiceUnavailable, "").Header.Get("Retry-After"); retry == "" {
		t.Error("no Retry-After")
	}
	if s.handled() != 0 {
		t.Error("the request has run")
	}
	_ = conn.Close()
	for deadline := time.Now().Add(5 * time.Second); s.account.Held(memaccount.Callers).Bytes != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("held %+v", s.account.Held(memaccount.Callers))
		}
	}
}

// TestSlowOnes guards against connections that stay open although nothing comes or nothing is taken.
func TestSlowOnes(t *testing.T) {
	s := serve(t, 184<<20, 4100)
	slow, reader := s.dial(t), s.dial(t)
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\nHo")
	_ = reader.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = io.WriteString(reader, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
	for _, reason := range []connlimit.Reason{connlimit.HeadTooSlow, connlimit.ReaderTooSlow} {
		for deadline := time.Now().Add(8 * time.Second); s.seen(reason) == 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("not ended: %s", reason)
			}
		}
	}
}

// TestSlowReaderGetsAll guards against a reader that is cut off although it takes something all the time.
func TestSlowReaderGetsAll(t *testing.T) {
	s := serve(t, 184<<20, 4100)
	conn := s.dial(t)
	_, _ = io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, conn, 2<<20)
		total += n
		if err != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if total < 64<<20 || s.seen(connlimit.ReaderTooSlow) > 0 {
		t.Errorf("%d bytes, refused %v", total, s.reasons)
	}
}

// TestManyConnections guards against an unbounded number of connections, and against connections that take the place of a request.
func TestManyConnections(t *testing.T) {
	s := serve(t, 184<<20, 100)
	for range 200 {
		s.dial(t)
	}
	conn := s.dial(t)
	_, _ = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	expect(t, bufio.NewReader(conn), http.StatusOK, "/1 0 <nil>")
	if held := s.account.Held(memaccount.Callers); held.Conns > 100 {
		t.Errorf("%d connections", held.Conns)
	}
}
