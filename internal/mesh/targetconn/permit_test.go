package targetconn_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

var errTooLate = errors.New("too late")

var _ = Describe("The permission to send", func() {
	ctx := context.Background()
	// expectForbidden checks that an error tells that the request was no longer permitted.
	expectForbidden := func(err error, sent bool) {
		var failure *targetconn.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Err).To(MatchError(errTooLate))
		Expect(failure.Sent).To(Equal(sent))
	}

	// Guards against a request that is sent late although a check before the write could have told.
	It("is asked before the first byte", func() {
		var received atomic.Int32
		target := newRawTarget(func(conn net.Conn, r *http.Request, _ int) bool {
			received.Add(1)
			writeResponse(conn, r.Header.Get("Request-Id"), "done")
			return true
		})
		r := newRequest("1")
		r.Permit = func(bool) error { return errTooLate }
		_, err := targetconn.New(target.listener.Addr().String()).Do(ctx, r)
		expectForbidden(err, false)
		Consistently(received.Load, "50ms").Should(BeZero())
	})

	// Guards against a request that a pause between the check and the write made late, and that runs to its end.
	It("is asked after the write, and the connection closed at once", func() {
		ended := make(chan error, 1)
		target := newRawTarget(func(conn net.Conn, _ *http.Request, _ int) bool {
			_, err := conn.Read(make([]byte, 1))
			ended <- err
			return false
		})
		r := newRequest("1")
		asked := 0
		r.Permit = func(began bool) error {
			asked++
			Expect(began).To(Equal(asked > 1))
			if asked > 1 {
				return errTooLate
			}
			return nil
		}
		_, err := targetconn.New(target.listener.Addr().String()).Do(ctx, r)
		expectForbidden(err, true)
		Eventually(ended).Should(Receive(HaveOccurred()))
	})

	// Guards against an upload whose end is sent after a pause in which its target made room for it.
	It("is asked again when the target has made room", func() {
		const length = 32 << 20
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		var asked atomic.Int64
		var late atomic.Bool
		received := make(chan int64, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			for before := int64(-1); asked.Load() != before; {
				before = asked.Load()
				time.Sleep(100 * time.Millisecond)
			}
			late.Store(true)
			n, _ := io.Copy(io.Discard, conn)
			received <- n
		}()
		r := newRequest("1")
		r.Body, r.Length = make([]byte, length), length
		r.Permit = func(bool) error {
			asked.Add(1)
			if late.Load() {
				return errTooLate
			}
			return nil
		}
		_, err = targetconn.New(listener.Addr().String()).Do(ctx, r)
		expectForbidden(err, true)
		Expect(<-received).To(BeNumerically("<", length))
	})

	// Guards against a target that is given the time that was left before connecting to it took a second.
	It("is preceded by the headers that depend on the time, once there is a connection", func() {
		stamped := 0
		stamp := func(h http.Header) {
			stamped++
			h.Set("Deadline", "7")
		}
		r := newRequest("1")
		r.Stamp = stamp
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(closed.Close()).To(Succeed())
		_, err = targetconn.New(closed.Addr().String()).Do(ctx, r)
		Expect(err).To(HaveOccurred())
		Expect(stamped).To(BeZero())
		target := newRawTarget(func(conn net.Conn, r *http.Request, _ int) bool {
			writeResponse(conn, r.Header.Get("Request-Id"), r.Header.Get("Deadline"))
			return true
		})
		response, err := targetconn.New(target.listener.Addr().String()).Do(ctx, r)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(bytes.TrimSpace(response.Body))).To(Equal("7"))
		Expect(stamped).To(Equal(1))
	})
})
