package callerconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/callerconn"
)

// server is an HTTP server behind a wrapped listener.
type server struct {
	http    *http.Server
	address string

	mu     sync.Mutex
	served []string
	// received holds the age of each request when its handler began, by path.
	received map[string]time.Duration
	// left holds the paths whose caller was seen to leave.
	left     []string
	draining bool
	front    *callerconn.Front
}

// connTimeout bounds the use of a caller's connection, so that a spec that waits in vain fails.
const connTimeout = 10 * time.Second

// serve starts a server whose handler answers "/slow..." and "/ahead/slow..." only after release is closed or the caller
// has left. Requests for "/ahead/..." may be served ahead.
func serve(release <-chan struct{}) *server {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return serveOn(inner, release)
}

// serveOn is serve with a listener.
func serveOn(inner net.Listener, release <-chan struct{}) *server {
	s := &server{address: inner.Addr().String(), received: map[string]time.Duration{}}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := r.Context()
		s.note(func() {
			s.served = append(s.served, r.URL.Path)
			s.received[r.URL.Path] = time.Since(callerconn.Received(ctx))
		})
		if r.URL.Path == "/refused" {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/stubborn" {
			<-release
		}
		if strings.Contains(r.URL.Path, "/slow") {
			select {
			case <-release:
			case <-ctx.Done():
				s.note(func() { s.left = append(s.left, r.URL.Path) })
				panic(http.ErrAbortHandler)
			}
		}
		if r.URL.Path == "/close" {
			w.Header().Set("Connection", "close")
		}
		if r.URL.Path == "/ahead/long" {
			fmt.Fprint(w, strings.Repeat("x", 200<<10))
		}
		if r.URL.Path == "/ahead/broken" {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "beginning")
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, r.URL.Path)
	})
	s.front = &callerconn.Front{
		Handler:       handler,
		MayServeAhead: func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/ahead/") },
		Draining: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.draining
		},
	}
	s.http = &http.Server{Handler: s.front, ConnContext: s.front.ConnContext, ConnState: s.front.ConnState}
	go func() { _ = s.http.Serve(s.front.Listener(inner)) }()
	DeferCleanup(s.http.Close)
	return s
}

// note changes the server's state under its lock.
func (s *server) note(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// paths returns the paths that were served.
func (s *server) paths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.served...)
}

// leftPaths returns the paths whose caller was seen to leave.
func (s *server) leftPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.left...)
}

// dial connects to the server.
func (s *server) dial() net.Conn {
	conn, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(connTimeout))).To(Succeed())
	return conn
}

// get is the wire form of a request for a path.
func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
}

// send writes requests for paths.
func send(conn net.Conn, paths ...string) {
	text := ""
	for _, path := range paths {
		text += get(path)
	}
	_, err := conn.Write([]byte(text))
	Expect(err).NotTo(HaveOccurred())
}

// expectAnswers reads the answers to requests for paths.
func expectAnswers(reader *bufio.Reader, paths ...string) {
	for _, path := range paths {
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(path))
	}
}

var _ = Describe("Conn", func() {
	It("answers in order what was sent ahead, at once or in pieces", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		send(conn, "/slow1", "/2")
		Eventually(s.paths).Should(Equal([]string{"/slow1"}))
		send(conn, "/3")
		for _, piece := range []string{"GET /4 HT", "TP/1.1\r\nHo", "st: a\r\n\r", "\n"} {
			time.Sleep(10 * time.Millisecond)
			_, err := conn.Write([]byte(piece))
			Expect(err).NotTo(HaveOccurred())
		}
		close(release)
		reader := bufio.NewReader(conn)
		expectAnswers(reader, "/slow1", "/2", "/3", "/4")
		send(conn, "/5")
		expectAnswers(reader, "/5")
	})

	It("answers more than it reads ahead", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		paths := []string{"/slow"}
		for i := range 2000 {
			paths = append(paths, fmt.Sprintf("/%d", i))
		}
		go func() {
			defer GinkgoRecover()
			send(conn, paths...)
		}()
		Eventually(s.paths, connTimeout).Should(HaveLen(1))
		time.Sleep(50 * time.Millisecond)
		close(release)
		expectAnswers(bufio.NewReader(conn), paths...)
	})

	// Guards against a caller that is served on after it has left: net/http stops to watch for that when the caller has
	// sent its next request.
	DescribeTable("notices that a caller leaves while further requests of it wait",
		func(leave func(net.Conn)) {
			s := serve(make(chan struct{}))
			conn := s.dial()
			send(conn, "/slow1")
			Eventually(s.paths).Should(HaveLen(1))
			send(conn, "/2", "/3")
			time.Sleep(50 * time.Millisecond)
			leave(conn)
			Eventually(s.leftPaths).Should(Equal([]string{"/slow1"}))
			Consistently(s.paths, "100ms").Should(Equal([]string{"/slow1"}))
		},
		Entry("by closing", func(conn net.Conn) { _ = conn.Close() }),
		Entry("by a reset", func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}),
	)

	// Guards against a request that is served although its caller left before its turn.
	It("drops what a caller sent before it left", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		send(conn, "/stubborn")
		Eventually(s.paths).Should(HaveLen(1))
		send(conn, "/2", "/3")
		time.Sleep(50 * time.Millisecond)
		_ = conn.Close()
		time.Sleep(50 * time.Millisecond)
		close(release)
		Consistently(s.paths, "100ms").Should(Equal([]string{"/stubborn"}))
	})

	// Guards against deadlines that begin only when it is a request's turn.
	It("tells when a request was received", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		send(conn, "/slow1", "/2")
		Eventually(s.paths).Should(HaveLen(1))
		send(conn, "/3")
		time.Sleep(300 * time.Millisecond)
		close(release)
		reader := bufio.NewReader(conn)
		expectAnswers(reader, "/slow1", "/2", "/3")
		time.Sleep(300 * time.Millisecond)
		send(conn, "/4")
		expectAnswers(reader, "/4")
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.received["/slow1"]).To(BeNumerically("<", 200*time.Millisecond))
		Expect(s.received["/2"]).To(BeNumerically(">=", 300*time.Millisecond))
		Expect(s.received["/3"]).To(BeNumerically(">=", 300*time.Millisecond))
		Expect(s.received["/4"]).To(BeNumerically("<", 200*time.Millisecond))
	})

	// Guards against an answer that the caller loses, because the connection is reset while requests behind that answer
	// are unread.
	It("delivers the last answer of a connection before requests that it does not read", func() {
		for range 20 {
			s := serve(nil)
			conn := s.dial()
			send(conn, "/1", "/close", "/3", "/4")
			time.Sleep(5 * time.Millisecond)
			_, err := conn.Write([]byte(strings.Repeat(get("/5"), 100)))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(5 * time.Millisecond)
			reader := bufio.NewReader(conn)
			expectAnswers(reader, "/1", "/close")
			_, err = reader.ReadByte()
			Expect(err).To(MatchError("EOF"))
			Expect(s.paths()).To(Equal([]string{"/1", "/close"}))
		}
	})

	// Guards against a refusal that the caller of a long upload loses: it still sends its body, nobody reads it, and the
	// connection is reset.
	DescribeTable("delivers a refusal before a body that it does not read", func(header string) {
		s := serve(nil)
		conn := s.dial()
		body := 4 << 20
		_, err := fmt.Fprintf(conn, "POST /refused HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n", header, body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.paths).Should(HaveLen(1))
		// A caller on a busy machine sends on a while later, and reads the answer when it has to wait.
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			_, err = conn.Write(make([]byte, 256<<10))
			Expect(err).NotTo(HaveOccurred())
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Close).To(BeTrue())
	},
		Entry("of a caller that would use its connection again", ""),
		// net/http closes the connection of such a caller at once.
		Entry("of a caller that closes its connection", "Connection: close\r\n"),
	)

	It("ends such a connection at an answer when the server shuts down", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		send(conn, "/slow1", "/2", "/3")
		Eventually(s.paths).Should(HaveLen(1))
		ended := make(chan error, 1)
		go func() { ended <- s.http.Shutdown(context.Background()) }()
		time.Sleep(50 * time.Millisecond)
		close(release)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeTrue())
		Eventually(ended, "3s").Should(Receive(BeNil()))
		Expect(s.paths()).To(Equal([]string{"/slow1"}))
	})
})
