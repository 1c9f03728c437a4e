package faultproxy_test

import (
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/faultproxy"
)

var _ = Describe("The fault proxy", func() {
	// Guards against a reset of the server that looks like the end of a stream.
	It("passes a reset on", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}()
		proxy, err := faultproxy.New(listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		conn := dial(proxy)
		_, err = conn.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = io.ReadAll(conn)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})
})
