package callerconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// slowListener accepts connections late, as on a host whose processor others use at that moment.
type slowListener struct {
	*net.TCPListener
	lag time.Duration
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.lag)
	return l.TCPListener.Accept()
}

// Close implements net.Listener. The server closes it once more at the end of a spec.
func (l *slowListener) Close() error {
	if err := l.TCPListener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Guards against requests on connections that are reset because their listener closes before it has accepted them.
var _ = Describe("The end of a listener", func() {
	It("comes after the connections that wait have been accepted", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s := serveOn(&slowListener{TCPListener: inner.(*net.TCPListener), lag: 50 * time.Millisecond}, nil)
		var conns []net.Conn
		for i := range 5 {
			conn := s.dial()
			send(conn, fmt.Sprintf("/%d", i))
			conns = append(conns, conn)
		}
		s.front.AwaitAccepted(context.Background(), inner)
		Expect(inner.Close()).To(Succeed())
		for i, conn := range conns {
			expectAnswers(bufio.NewReader(conn), fmt.Sprintf("/%d", i))
		}
	})
})
