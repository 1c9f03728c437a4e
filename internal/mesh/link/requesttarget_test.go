package link_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// ignoredSignals ignores the signals of a gate.
type ignoredSignals struct{}

func (ignoredSignals) Queued()        {}
func (ignoredSignals) Started()       {}
func (ignoredSignals) Overdue()       {}
func (ignoredSignals) CancelAdvised() {}

// FuzzRequestTarget guards against a request target that changes on its way to another host's gate.
func FuzzRequestTarget(f *testing.F) {
	for _, seed := range []string{"/", "//", "//lepu270/2f", "///a", "/a//b", "/a/../b", "/%2F%zz%", "/?", "/a|b\"<>", "/caf\u00e9", "/a#b"} {
		f.Add(seed)
	}
	type seen struct{ uri, host string }
	got := make(chan seen, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := link.DecodeAttempt(r)
		if err != nil {
			got <- seen{uri: err.Error()}
			return
		}
		got <- seen{a.URI, a.Host}
	})}
	go func() { _ = server.Serve(listener) }()
	f.Cleanup(func() { _ = server.Close() })
	client := link.NewClient()
	f.Fuzz(func(t *testing.T, uri string) {
		sent := "GET " + uri + " HTTP/1.1\r\nHost: trails.example\r\n\r\n"
		parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader(sent)))
		if err != nil || !strings.HasPrefix(parsed.RequestURI, "/") || parsed.Host != "trails.example" {
			t.Skip("no request in origin form")
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		client.Send(ctx, id.HostID(listener.Addr().String()), &link.Attempt{
			Service: "walks", Caller: "desk", Route: "r", Idempotent: true, Remaining: time.Second, Method: "GET",
			URI: parsed.RequestURI, Host: parsed.Host, Header: http.Header{}, Body: &link.Body{},
		}, ignoredSignals{}).Close()
		select {
		case s := <-got:
			if s.uri != parsed.RequestURI || s.host != "trails.example" {
				t.Fatalf("%q arrived as %q at host %q", parsed.RequestURI, s.uri, s.host)
			}
		case <-ctx.Done():
			t.Fatalf("%q did not arrive", parsed.RequestURI)
		}
	})
}
