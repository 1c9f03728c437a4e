package traffic_test

import (
	"context"
	"io"
	"net"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/traffic"
)

// discard is a connection to a peer that reads everything.
func discard(t *testing.T) (near, far net.Conn) {
	near, far = net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	return near, far
}

// newMeter returns the meter of a host whose domain has only the host near.
func newMeter() *traffic.Meter {
	return traffic.NewMeter(func(host id.HostID) bool { return host == "near" })
}

// send writes n bytes.
func send(t *testing.T, conn net.Conn, n int) {
	if _, err := conn.Write(make([]byte, n)); err != nil {
		t.Fatal(err)
	}
}

// Guards against bytes that are counted for a later call of the same connection, whose purpose is another one.
func TestPurposeOfCalls(t *testing.T) {
	m := newMeter()
	near, _ := discard(t)
	conn := m.Conn(near, "far")
	first := conn.Begin()
	send(t, conn, 10)
	second := conn.Begin()
	send(t, conn, 200)
	first.Settle(traffic.Refused)
	second.Settle(traffic.Answered)
	send(t, conn, 3000)
	second.Settle(traffic.Other)
	got := m.Cross()
	if got[traffic.Refused] != (traffic.Count{Calls: 1, Sent: 10}) || got[traffic.Answered] != (traffic.Count{Calls: 1, Sent: 3200}) || got[traffic.Other] != (traffic.Count{}) {
		t.Fatalf("%+v", got)
	}
}

// Guards against traffic within a failure domain that is reported as traffic between domains.
func TestDomains(t *testing.T) {
	m := newMeter()
	dial := m.Dial(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = far.Write(make([]byte, 7)) }()
		return near, nil
	}, traffic.State)
	for _, host := range []string{"near", "far", "far"} {
		conn, err := dial(t.Context(), "tcp", host)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(conn, make([]byte, 7)); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
	if within := m.Within()[traffic.State]; within != (traffic.Count{Calls: 1, Received: 7}) {
		t.Fatalf("within: %+v", within)
	}
	if cross := m.Cross()[traffic.State]; cross != (traffic.Count{Calls: 2, Received: 14}) {
		t.Fatalf("cross: %+v", cross)
	}
}
