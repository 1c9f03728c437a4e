package targetconn_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// FuzzCutResponse guards against a response that breaks off and is taken for a whole one, whatever its headers, its body
// and the pieces in which it is sent.
func FuzzCutResponse(f *testing.F) {
	f.Add("X-Note", "a", "0123456789", uint8(0), uint16(40), uint8(0))
	f.Add("Content-Type", "text/plain", "0\r\n\r\n", uint8(1), uint16(90), uint8(1))
	f.Add("Trailer", "X-Sum", "HTTP/1.1 200 OK\r\n\r\n", uint8(3), uint16(120), uint8(2))
	f.Add("Connection", "close", strings.Repeat("1", 300), uint8(7), uint16(1000), uint8(4))
	var next atomic.Pointer[cut]
	target, err := newCutTarget(&next)
	if err != nil {
		f.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	f.Fuzz(func(t *testing.T, name, value, body string, chunk uint8, at uint16, end uint8) {
		if strings.ContainsAny(name+value, "\r\n\x00") || len(name)+len(value)+len(body) > 16<<10 {
			return
		}
		framing, wire := fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
		if chunk > 0 {
			framing, wire = "Transfer-Encoding: chunked\r\n", ""
			for rest := body; rest != ""; {
				n := min(int(chunk), len(rest))
				wire += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			wire += "0\r\n\r\n"
		}
		response := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n" + framing + name + ": " + value + "\r\n\r\n" + wire
		n := int(at) % len(response)
		ending := hoptest.Endings[int(end)%len(hoptest.Endings)]
		next.Store(&cut{response[:n], ending})
		got, err := targetconn.New(target.Address()).Do(context.Background(), newRequest("1"))
		if err != nil {
			return
		}
		if got.Rest != nil {
			_, err = io.Copy(io.Discard, got.Rest)
			_ = got.Rest.Close()
		}
		if err == nil {
			t.Fatalf("whole after %d bytes of %q", n, response)
		}
	})
}
