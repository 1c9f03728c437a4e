package hop_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// gateStub refuses every attempt and uses the test's fake clock.
func gateStub(fake *clock.Fake) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reading := func() hop.GateClock { return hop.ReadGateClock(7, fake.Now()) }
		if r.Header.Get(hop.HeaderAttempt) == "" {
			w.Header().Set(hop.HeaderGateClock, reading().String())
			return
		}
		request, err := hop.DecodeRequest(r.Header)
		if err != nil {
			panic(err)
		}
		w.Header().Set("Stamp", request.ValidUntil.String())
		reply := hop.NewReply(w, r, request.Attempt, reading, time.Second)
		defer reply.Done()
		reply.WriteProblem(hop.Response{Verdict: hop.NotRun, Reason: problem.NoTarget}, problem.New(problem.NoTarget, problem.NotRun, ""))
	})
}

// call is a sample attempt for a server.
func call(server *httptest.Server) hop.Call {
	return hop.Call{
		Peer: server.Listener.Addr().String(), Request: sample(), Method: http.MethodGet,
		Host: "fleet", Header: http.Header{},
	}
}

// TestClientTLS guards against guarded connections or validity stamps that fail over TLS.
func TestClientTLS(t *testing.T) {
	server := httptest.NewTLSServer(gateStub(&clock.Fake{}))
	defer server.Close()
	pool := x509.NewCertPool()
	pool.AddCert(server.Certificate())
	client := hop.NewClient(hop.Config{TLS: func() *tls.Config { return &tls.Config{RootCAs: pool} }}, &clock.Fake{})
	defer client.Close()
	for range 3 {
		answer, err := client.Do(context.Background(), call(server))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		if err != nil || len(body) == 0 || answer.Verdict != hop.NotRun || answer.Reason != problem.NoTarget {
			t.Fatalf("%+v %q %v", answer.Response, body, err)
		}
		_ = answer.Body.Close()
	}
}

// TestClientStamp guards against a stamp that is valid for longer than the call's Expiry, also when the peer's
// clock has another origin and the reading is old.
func TestClientStamp(t *testing.T) {
	var gateClock, entryClock clock.Fake
	gateClock.Advance(time.Hour)
	server := httptest.NewServer(gateStub(&gateClock))
	defer server.Close()
	client := hop.NewClient(hop.Config{}, &entryClock)
	defer client.Close()
	for range 3 {
		c := call(server)
		c.Expiry = entryClock.Now().Add(3 * time.Second)
		answer, err := client.Do(context.Background(), c)
		if err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
		stamp, err := hop.ParseGateClock(answer.Header.Get("Stamp"))
		want := gateClock.Now().Add(3 * time.Second).Milliseconds()
		if err != nil || stamp.Millis != want || stamp.Incarnation != 7 {
			t.Fatalf("stamp %v, want 7:%d", stamp, want)
		}
		gateClock.Advance(20 * time.Second)
		entryClock.Advance(20 * time.Second)
	}
}

// TestClientNotSent guards against a request that was never sent but is reported as sent.
func TestClientNotSent(t *testing.T) {
	client := hop.NewClient(hop.Config{}, &clock.Fake{})
	c := hop.Call{Peer: "127.0.0.1:9", Request: sample(), Method: http.MethodGet, Header: http.Header{}}
	_, err := client.Do(context.Background(), c)
	var broken *hop.BrokenError
	if !errors.As(err, &broken) || broken.Sent {
		t.Fatalf("%v", err)
	}
}

// TestClientKey guards against forwarding the caller's key to a peer.
func TestClientKey(t *testing.T) {
	server := httptest.NewServer(gateStub(&clock.Fake{}))
	defer server.Close()
	client := hop.NewClient(hop.Config{}, &clock.Fake{})
	defer client.Close()
	c := call(server)
	c.Header.Set("Authorization", "Bearer secret")
	defer func() {
		violation, ok := recover().(*invariant.Violation)
		if !ok || violation.Name != "no-key-in-hop" {
			t.Fatalf("recovered %v", violation)
		}
	}()
	_, _ = client.Do(context.Background(), c)
}
