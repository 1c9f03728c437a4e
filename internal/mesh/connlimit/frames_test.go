package connlimit

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// FuzzFrames guards against an end of a request that differs from the one that net/http finds: the next head would be held back or
// passed on in part.
func FuzzFrames(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET",
		"POST / HTTP/1.1\nHost: a\nContent-Length: 3\n\nabcGET",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailer: x\r\n\r\nGET",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0a\r\n0123456789\r\n0\r\n\r\nGET",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\naGET",
		"POST / HTTP/1.1\r\nHost: a\r\n Content-Length: 1\r\n\r\naGET",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\naGET",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\nGET",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		want := len(data) - source.Len() - reader.Buffered()
		end := headEnd(data, 0)
		if end < 0 {
			t.Fatal("net/http found the end of the head")
		}
		for seen := range end {
			if got := headEnd(data[:end], seen); seen > 0 && headEnd(data[:seen], 0) < 0 && got != end {
				t.Fatalf("searched from %d: %d, not %d", seen, got, end)
			}
		}
		b := bodyOf(data[:end])
		if b == nil {
			if want != end {
				t.Fatalf("no body, but net/http read %d behind the head", want-end)
			}
			return
		}
		used := b.consume(data[end:])
		if b.state == bodyUnknown {
			// The connection ends with the answer.
			return
		}
		if b.state != bodyDone || end+used != want {
			t.Fatalf("%d bytes in state %d, net/http read %d", end+used, b.state, want)
		}
	})
}

// TestPieces guards against a body whose end depends on how its bytes come.
func TestPieces(t *testing.T) {
	whole := "5\r\nhello\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\nrest"
	for size := 1; size < len(whole); size++ {
		b, used := &body{state: chunkSize}, 0
		for rest := whole; rest != "" && b.state != bodyDone; {
			n := min(size, len(rest))
			used += b.consume([]byte(rest[:n]))
			rest = rest[n:]
		}
		if b.state != bodyDone || used != strings.Index(whole, "rest") {
			t.Errorf("pieces of %d: state %d after %d", size, b.state, used)
		}
	}
}
