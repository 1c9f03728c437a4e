package arrival_test

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/arrival"
	"buckthornlatch.example/buckthornlatch/internal/mesh/hangup/hanguptest"
)

// TestReadOfLongBody guards against the head of an upload that lay unread and is taken for new, because its sender goes on as
// soon as a part of it is read.
func TestReadOfLongBody(t *testing.T) {
	const unread = 300 * time.Millisecond
	accepted, dialled, err := hanguptest.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = accepted.Close(), dialled.Close() }()
	go func() {
		// More than the buffers of the connection hold.
		_, _ = dialled.Write(make([]byte, 64<<20))
	}()
	time.Sleep(2 * unread)
	buffer := make([]byte, 1<<20)
	n, age, err := arrival.Read(accepted, buffer)
	if err != nil || n == 0 {
		t.Fatal(n, err)
	}
	if age < unread {
		t.Errorf("the age is %v", age)
	}
}

// TestReadAfterIdleTime guards against the idle time of a kept connection that counts as the age of the next request.
func TestReadAfterIdleTime(t *testing.T) {
	accepted, dialled, err := hanguptest.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = accepted.Close(), dialled.Close() }()
	const idle = 200 * time.Millisecond
	for range 3 {
		var sent time.Time
		timer := time.AfterFunc(idle, func() {
			sent = time.Now()
			_, _ = dialled.Write([]byte("request"))
		})
		n, age, err := arrival.Read(accepted, make([]byte, 16))
		if n != len("request") || err != nil {
			t.Fatal(n, err)
		}
		if timer.Stop() {
			t.Fatal("read before it was sent")
		}
		if most := time.Since(sent) + tolerance; age > most {
			t.Errorf("the age is %v, at most %v is possible", age, most)
		}
	}
}

// TestReadEnds checks that an end of the connection and a deadline are told as by the connection's own Read.
func TestReadEnds(t *testing.T) {
	accepted, dialled, err := hanguptest.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if err := accepted.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := arrival.Read(accepted, make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the deadline: %v", err)
	}
	if err := accepted.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	hanguptest.Close(dialled)
	if _, _, err := arrival.Read(accepted, make([]byte, 1)); err != io.EOF {
		t.Errorf("after the end: %v", err)
	}
}
