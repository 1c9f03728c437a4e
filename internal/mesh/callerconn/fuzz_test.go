package callerconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzBoundary guards against a boundary that net/http sees elsewhere: a part of a request, or of its body, would then
// be served as a request of its own.
func FuzzBoundary(f *testing.F) {
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HEAD /a HTTP/1.1\nHost: a\n\nGET /b HTTP/1.1\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.1\r\nHost: a\r\n x: y\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		length, b := findBoundary(data)
		if b != found {
			return
		}
		reader := bufio.NewReaderSize(bytes.NewReader(data), 64<<10)
		request, err := http.ReadRequest(reader)
		if err != nil {
			// The server refuses it and closes the connection.
			return
		}
		if request.ContentLength != 0 || len(request.TransferEncoding) > 0 {
			t.Fatalf("a request with a body: %q", data)
		}
		rest, err := io.ReadAll(reader)
		if err != nil || !bytes.Equal(rest, data[length:]) {
			t.Fatalf("boundary at %d, net/http reads on at %d of %q", length, len(data)-len(rest), data)
		}
	})
}
