package targetconn_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// FuzzRequestTarget guards against a request target that does not reach the target byte for byte as the caller sent it: one
// that began with two slashes became an absolute URL, whose host the target took for the request's.
func FuzzRequestTarget(f *testing.F) {
	for _, seed := range []string{
		"/", "//", "//lepu270/2f", "///a", "/a//b", "/a/../b", "/./", "/%2F%zz%", "/?", "/?a=b?c", "/a|b\"<>", "/caf\u00e9", "/a#b", "//@host:80/x?y",
	} {
		f.Add(seed, "seats")
	}
	f.Fuzz(func(t *testing.T, uri, body string) {
		sent := "POST " + uri + " HTTP/1.1\r\nHost: trails.example\r\n\r\n"
		parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader(sent)))
		if err != nil || !strings.HasPrefix(parsed.RequestURI, "/") || parsed.Host != "trails.example" {
			t.Skip("no request in origin form")
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		got := make(chan []byte, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			var raw bytes.Buffer
			r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &raw)))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			got <- raw.Bytes()
			writeResponse(conn, "1", "done")
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		request := newRequest("1")
		request.URI, request.Body, request.Length = parsed.RequestURI, []byte(body), int64(len(body))
		if _, err := targetconn.New(listener.Addr().String()).Do(ctx, request); err != nil {
			t.Fatalf("%q: %v", uri, err)
		}
		head, rest, _ := bytes.Cut(<-got, []byte("\r\n\r\n"))
		lines := strings.Split(string(head), "\r\n")
		if want := "POST " + parsed.RequestURI + " HTTP/1.1"; lines[0] != want {
			t.Fatalf("request line %q instead of %q", lines[0], want)
		}
		if lines[1] != "Host: trails.example" || string(rest) != body {
			t.Fatalf("%q: head %q, body %q", uri, head, rest)
		}
	})
}
