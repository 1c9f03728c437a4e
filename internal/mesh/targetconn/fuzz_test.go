package targetconn_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// FuzzResponse guards against bytes of a target that end the process, block the request beyond its time, or are taken
// for the response to another request or for one although they are none.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\ndone")
	f.Add("HTTP/1.1 200 OK\r\nRequest-Id: 9\r\nContent-Length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\nRequest-Id: 1\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: -1\r\nKeep-Alive: timeout=99999999999\r\n\r\n")
	f.Add("\x00\x00HTTP/9.9 99999 \r\n\r\n")
	for _, answer := range hoptest.NoAnswers() {
		f.Add(answer.Wire("Request-Id: 1\r\n"))
	}
	f.Fuzz(func(t *testing.T, response string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, response)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		got, err := targetconn.New(listener.Addr().String()).Do(ctx, newRequest("1"))
		if ctx.Err() != nil {
			t.Fatal("the request took until its deadline")
		}
		if err != nil {
			return
		}
		if got.Rest != nil {
			_ = got.Rest.Close()
		}
		if got.Header.Get("Request-Id") != "1" && got.Status != http.StatusMisdirectedRequest {
			t.Fatalf("response %+v to %q", got, response)
		}
		if got.Status < 200 || got.Status > 599 || !regexp.MustCompile(fmt.Sprintf("HTTP/1[.][01] %d[ \r\n]", got.Status)).MatchString(response) {
			t.Fatalf("status %d of %q", got.Status, response)
		}
		if !strings.Contains(response, string(got.Body)) && !strings.Contains(strings.ToLower(response), "chunked") {
			t.Fatalf("body %q of %q", got.Body, response)
		}
	})
}
