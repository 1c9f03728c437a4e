package faultproxy_test

import (
	"bufio"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/faultproxy"
)

// quiet is the time in which a held byte must not arrive.
const quiet = 150 * time.Millisecond

// echo starts a server that repeats lines and returns a proxy before it.
func echo() *faultproxy.Proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	proxy, err := faultproxy.New(listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	return proxy
}

// dial opens a connection through the proxy.
func dial(proxy *faultproxy.Proxy) net.Conn {
	conn, err := net.Dial("tcp", proxy.Addr())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a line and returns the echo that arrives within a time.
func exchange(conn net.Conn, line string, within time.Duration) (string, error) {
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	Expect(conn.SetReadDeadline(time.Now().Add(within))).To(Succeed())
	return bufio.NewReader(conn).ReadString('\n')
}

var _ = Describe("The fault proxy", func() {
	// Guards against a cut that leaks bytes, or loses them although TCP would deliver them after the cut.
	DescribeTable("holds a direction and delivers late", func(f faultproxy.Faults) {
		proxy := echo()
		conn := dial(proxy)
		Expect(exchange(conn, "before", time.Second)).To(Equal("before\n"))
		proxy.Set(f)
		_, err := exchange(conn, "held", quiet)
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		proxy.Set(faultproxy.Faults{})
		Expect(exchange(conn, "after", time.Second)).To(Equal("held\n"))
	},
		Entry("to the server", faultproxy.Faults{HoldToServer: true}),
		Entry("to the client", faultproxy.Faults{HoldToClient: true}),
		Entry("both ways", faultproxy.Faults{HoldToServer: true, HoldToClient: true}),
	)

	// Guards against a silence that also reaches new connections, which would hide a reuse of silent ones.
	It("silences open connections only, for good", func() {
		proxy := echo()
		silent := dial(proxy)
		Expect(exchange(silent, "before", time.Second)).To(Equal("before\n"))
		proxy.Silence()
		Expect(exchange(dial(proxy), "new", time.Second)).To(Equal("new\n"))
		proxy.Set(faultproxy.Faults{})
		_, err := exchange(silent, "never", quiet)
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	})

	// Guards against tests whose broken connections stay open.
	It("breaks open connections and refuses new ones", func() {
		proxy := echo()
		conn := dial(proxy)
		Expect(exchange(conn, "before", time.Second)).To(Equal("before\n"))
		proxy.Break()
		_, err := exchange(conn, "after", time.Second)
		Expect(err).To(HaveOccurred())
		proxy.Set(faultproxy.Faults{Refuse: true})
		_, err = exchange(dial(proxy), "refused", time.Second)
		Expect(err).To(HaveOccurred())
	})

	// Guards against a delay that is not added.
	It("delays", func() {
		proxy := echo()
		proxy.Set(faultproxy.Faults{Delay: quiet})
		start := time.Now()
		Expect(exchange(dial(proxy), "slow", 5*time.Second)).To(Equal("slow\n"))
		Expect(time.Since(start)).To(BeNumerically(">=", 2*quiet))
	})
})
