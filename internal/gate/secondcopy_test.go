package gate_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// copyingTarget sends each response once more where the one to the next request on the connection is due.
type copyingTarget struct {
	listener net.Listener
	// echo makes it echo attempt ids; refuse makes it refuse the next request.
	echo     bool
	refuse   atomic.Bool
	accepted atomic.Int32
	runs     atomic.Int32
}

// newCopyingTarget starts a target until the spec ends.
func newCopyingTarget(echo bool) *copyingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	t := &copyingTarget{listener: listener, echo: echo}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.accepted.Add(1)
			go t.serve(conn)
		}
	}()
	return t
}

// serve answers the requests of a connection.
func (t *copyingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	earlier := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		header := ""
		if t.echo {
			header = "X-Attempt: " + request.Header.Get("X-Attempt") + "\r\n"
		}
		response := "HTTP/1.1 200 OK\r\n" + header + "Content-Length: 4\r\n\r\ndone"
		if t.refuse.Swap(false) {
			response = "HTTP/1.1 503 Service Unavailable\r\n" + header + "Bl-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
		} else {
			t.runs.Add(1)
		}
		if _, err := io.WriteString(conn, earlier+response); err != nil {
			return
		}
		earlier = response
	}
}

// Guards against an attempt that is taken for refused, or for answered, by a response to an earlier one.
var _ = Describe("A second copy of a response", func() {
	run := func(t *copyingTarget) func(number byte) string {
		g := startGate(t.listener.Addr())
		return func(number byte) string {
			request := httptest.NewRequest(http.MethodGet, hop.Path, nil)
			hop.Request{
				Attempt: id.AttemptID{number}, Remaining: time.Second, Customer: "alpha", Service: "walks",
				Class: hop.Once, KeyID: "key-1", ValidUntil: g.Clock(), URI: "/",
			}.Encode(request.Header)
			recorder := httptest.NewRecorder()
			g.ServeHTTP(recorder, request)
			return recorder.Header().Get(hop.HeaderVerdict)
		}
	}

	It("with the id of its attempt is not taken for another one's", func() {
		target := newCopyingTarget(true)
		send := run(target)
		Expect(send(1)).To(Equal("ran"))
		target.refuse.Store(true)
		// On the first connection the copy of the first answer comes here.
		Expect(send(2)).To(BeElementOf("unknown", "not-run"))
		for number := byte(3); number < 20; number++ {
			before := target.runs.Load()
			target.refuse.Store(number%3 == 0)
			verdict := send(number)
			if target.runs.Load() > before {
				Expect(verdict).NotTo(Equal("not-run"))
			} else {
				Expect(verdict).NotTo(Equal("ran"))
			}
		}
	})

	It("without an id meets no other attempt", func() {
		target := newCopyingTarget(false)
		send := run(target)
		for number := byte(1); number < 10; number++ {
			refuse := number%2 == 1
			target.refuse.Store(refuse)
			want := "ran"
			if refuse {
				want = "not-run"
			}
			Expect(send(number)).To(Equal(want))
		}
		Expect(target.accepted.Load()).To(Equal(int32(9)))
	})
})
