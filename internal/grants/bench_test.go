package grants_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/grants"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
	rpc "buckthornlatch.example/buckthornlatch/rpc/grants"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, l}, err
}

// countingConn adds its bytes to its listener's count.
type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange reports the bytes of one exchange on an open connection,
// without TCP and IP headers.
func BenchmarkExchange(b *testing.B) {
	for _, protocol := range []string{"http1", "http1-tls", "http2-tls"} {
		b.Run(protocol, func(b *testing.B) {
			home := ratelimit.NewHome(1, confirmedDuty{}, 0)
			holder := &grants.HomeHolder{}
			holder.Set(home)
			service := grants.New(grants.Config{
				Clock: &clock.Fake{}, Self: "home", Placement: singleHome{}, Peers: peers{}, HTTP: http.DefaultClient,
			}, holder)
			defer service.Close()
			server := httptest.NewUnstartedServer(service.Handler())
			counter := &countingListener{Listener: server.Listener}
			server.Listener = counter
			switch protocol {
			case "http1":
				server.Start()
			default:
				server.EnableHTTP2 = protocol == "http2-tls"
				server.StartTLS()
			}
			defer server.Close()
			client := rpc.NewGrantsProtobufClient(server.URL, server.Client())
			call := func() {
				in := &rpc.ExchangeRequest{Requests: []*rpc.Request{{Id: 70000, Customer: "customer-00001", Need: 1, Want: 1}}}
				if _, err := client.Exchange(context.Background(), in); err != nil {
					b.Fatal(err)
				}
			}
			for range 10 {
				call()
			}
			counter.bytes.Store(0)
			n := 0
			for b.Loop() {
				call()
				n++
			}
			b.ReportMetric(float64(counter.bytes.Load())/float64(n), "B/exchange")
		})
	}
}
