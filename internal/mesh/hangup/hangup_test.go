package hangup_test

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup"
)

// pair returns the two ends of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialled.Close()
		_ = accepted.Close()
	})
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

// becomesTrue waits for a condition, which the kernel makes true a moment after a call.
func becomesTrue(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 200 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(what)
}

// TestLeft guards against requests that are started although their sender has left.
func TestLeft(t *testing.T) {
	near, far := pair(t)
	ctx := hangup.WithConn(context.Background(), near)
	if hangup.Left(ctx) {
		t.Fatal("an open connection counts as closed")
	}
	blocked := make(chan struct{})
	go func() {
		defer close(blocked)
		_, _ = near.Read(make([]byte, 8))
	}()
	if hangup.Left(ctx) {
		t.Fatal("a connection on which a read waits counts as closed")
	}
	if _, err := far.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	<-blocked
	if _, err := far.Write([]byte("next")); err != nil {
		t.Fatal(err)
	}
	if hangup.Left(ctx) {
		t.Fatal("an open connection with unread bytes counts as closed")
	}
	_ = far.Close()
	if runtime.GOOS != "linux" {
		if _, err := near.Read(make([]byte, 8)); err != nil {
			t.Fatal(err)
		}
	}
	becomesTrue(t, "a closed connection counts as open", func() bool { return hangup.Left(ctx) })
}

// TestLeftByReset checks that a reset counts, too.
func TestLeftByReset(t *testing.T) {
	near, far := pair(t)
	_ = far.SetLinger(0)
	_ = far.Close()
	becomesTrue(t, "a reset connection counts as open", func() bool { return hangup.Left(hangup.WithConn(context.Background(), near)) })
}

// TestLeftWithoutConn checks the requests that did not come through a socket.
func TestLeftWithoutConn(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	if hangup.Left(context.Background()) || hangup.Left(hangup.WithConn(context.Background(), near)) {
		t.Fatal("a request without a socket counts as left")
	}
}
