package callerconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// laggingListener accepts connections whose reads return only some time after they took bytes, as on a host whose processor
// others use at that moment.
type laggingListener struct {
	net.Listener
	lag time.Duration
	// reads counts the reads that took bytes, whether they have returned or not.
	reads atomic.Int32
}

// laggingConn is a connection of a laggingListener. It has no file descriptor to read from past Read.
type laggingConn struct {
	net.Conn
	listener *laggingListener
}

// Accept implements net.Listener.
func (l *laggingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return laggingConn{Conn: conn, listener: l}, nil
}

// Read implements net.Conn.
func (c laggingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.reads.Add(1)
		time.Sleep(c.listener.lag)
	}
	return n, err
}

// CloseWrite closes the writing side.
func (c laggingConn) CloseWrite() error {
	return c.Conn.(*net.TCPConn).CloseWrite()
}

// closeAll begins to close a server's connections. The channel is closed at the end.
func (s *server) closeAll() <-chan struct{} {
	s.note(func() { s.draining = true })
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.front.CloseAll(context.Background())
	}()
	return closed
}

// expectLastAnswer reads an answer behind which the connection ends.
func expectLastAnswer(reader *bufio.Reader) {
	GinkgoHelper()
	response, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	_, err = reader.ReadByte()
	Expect(err).To(MatchError("EOF"))
}

// Guards against requests that are read and end without an answer when a process stops.
var _ = Describe("CloseAll", func() {
	It("answers what was sent ahead, whether it is served ahead or not", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		send(conn, "/ahead/slow1", "/ahead/2", "/ahead/3", "/4")
		Eventually(s.paths).Should(HaveLen(3))
		closed := s.closeAll()
		send(conn, "/ahead/5")
		Consistently(s.paths, "50ms").Should(HaveLen(3))
		close(release)
		reader := bufio.NewReader(conn)
		expectAnswers(reader, "/ahead/slow1", "/ahead/2", "/ahead/3", "/4")
		expectLastAnswer(reader)
		Eventually(closed, "3s").Should(BeClosed())
		Expect(s.paths()).To(HaveLen(5))
	})

	It("answers a request that waits behind one that must not be served at the same time", func() {
		release := make(chan struct{})
		s := serve(release)
		conn := s.dial()
		send(conn, "/slow1", "/2")
		Eventually(s.paths).Should(HaveLen(1))
		time.Sleep(50 * time.Millisecond)
		closed := s.closeAll()
		close(release)
		reader := bufio.NewReader(conn)
		expectAnswers(reader, "/slow1")
		expectLastAnswer(reader)
		Eventually(closed, "3s").Should(BeClosed())
	})

	It("answers a request that was read and not parsed yet", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		lagging := &laggingListener{Listener: inner, lag: 200 * time.Millisecond}
		s := serveOn(lagging, nil)
		conn := s.dial()
		reader := bufio.NewReader(conn)
		send(conn, "/1")
		expectAnswers(reader, "/1")
		reads := lagging.reads.Load()
		send(conn, "/2")
		Eventually(lagging.reads.Load, "1s", "1ms").Should(BeNumerically(">", reads))
		closed := s.closeAll()
		expectLastAnswer(reader)
		Eventually(closed, "3s").Should(BeClosed())
		Expect(s.paths()).To(Equal([]string{"/1", "/2"}))
	})

	It("answers a request that has arrived in part", func() {
		s := serve(nil)
		conn := s.dial()
		reader := bufio.NewReader(conn)
		send(conn, "/1")
		expectAnswers(reader, "/1")
		request := get("/2")
		_, err := io.WriteString(conn, request[:20])
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		closed := s.closeAll()
		time.Sleep(50 * time.Millisecond)
		_, err = io.WriteString(conn, request[20:])
		Expect(err).NotTo(HaveOccurred())
		expectLastAnswer(reader)
		Eventually(closed, "3s").Should(BeClosed())
	})

	It("answers the first request of a connection that comes late", func() {
		s := serve(nil)
		conn := s.dial()
		Eventually(s.front.OpenConns).Should(Equal(1))
		closed := s.closeAll()
		time.Sleep(100 * time.Millisecond)
		send(conn, "/1")
		expectLastAnswer(bufio.NewReader(conn))
		Eventually(closed, "3s").Should(BeClosed())
	})

	It("closes connections on which nothing comes", func() {
		s := serve(nil)
		used, unused := s.dial(), s.dial()
		reader := bufio.NewReader(used)
		send(used, "/1")
		expectAnswers(reader, "/1")
		Eventually(s.front.OpenConns).Should(Equal(2))
		closed := s.closeAll()
		_, err := reader.ReadByte()
		Expect(err).To(MatchError("EOF"))
		Expect(closed).NotTo(BeClosed())
		_, err = unused.Read(make([]byte, 1))
		Expect(err).To(MatchError("EOF"))
		Eventually(closed, "3s").Should(BeClosed())
	})

	// The end of the process would reset the connection, and the caller could lose the refusal.
	It("waits for a caller that still sends the body of a refused request", func() {
		s := serve(nil)
		conn := s.dial()
		_, err := io.WriteString(conn, "POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\nbeginning")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.paths).Should(HaveLen(1))
		closed := s.closeAll()
		Consistently(closed, "1s").ShouldNot(BeClosed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		_ = conn.Close()
		Eventually(closed, "1s").Should(BeClosed())
	})

	It("ends with its context", func() {
		s := serve(make(chan struct{}))
		send(s.dial(), "/slow1")
		Eventually(s.paths).Should(HaveLen(1))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		s.front.CloseAll(ctx)
		Expect(s.front.OpenConns()).To(Equal(1))
	})
})
