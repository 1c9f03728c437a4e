package arrival_test

import (
	"net"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/arrival"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup/hanguptest"
)

// tolerance is the resolution of the kernel's clock for connections, with some margin.
const tolerance = 20 * time.Millisecond

// TestAge guards against bytes that are taken to be as new as their read.
func TestAge(t *testing.T) {
	accepted, dialled, err := hanguptest.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = accepted.Close(), dialled.Close() }()
	buffer := make([]byte, 8)
	for _, unread := range []time.Duration{300 * time.Millisecond, 0, 100 * time.Millisecond} {
		before := time.Now()
		if _, err := dialled.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(unread)
		if _, err := accepted.Read(buffer); err != nil {
			t.Fatal(err)
		}
		age, most := arrival.Age(accepted), time.Since(before)
		if age < unread-tolerance || age > most+tolerance {
			t.Errorf("after %v unread the age is %v", unread, age)
		}
	}
}

// TestAgeUnknown checks connections that are no sockets.
func TestAgeUnknown(t *testing.T) {
	one, other := net.Pipe()
	defer func() { _, _ = one.Close(), other.Close() }()
	if age := arrival.Age(one); age != 0 {
		t.Errorf("the age is %v", age)
	}
}
