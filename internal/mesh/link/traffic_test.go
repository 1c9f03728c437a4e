package link_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/traffic"
)

// noSignals ignores the progress of attempts.
type noSignals struct{}

func (noSignals) Queued()        {}
func (noSignals) Started()       {}
func (noSignals) Overdue()       {}
func (noSignals) CancelAdvised() {}

// Guards against attempts that are not counted, or whose bytes count for another purpose, on reused connections, and
// against refusals with a long head, or of which only that of one version can be read.
func TestTrafficOfAttempts(t *testing.T) {
	const long = 200 << 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		result, status := &link.Result{Verdict: hop.NotRun, Reason: "full"}, http.StatusNoContent
		switch r.URL.Path {
		case "/refused-503":
			status = http.StatusServiceUnavailable
		case "/answered":
			status = http.StatusOK
			result = &link.Result{Verdict: hop.Ran, Reason: link.Answered, Body: []byte(strings.Repeat("x", long)), Length: long}
		}
		result.Encode(w.Header())
		link.WriteBody(w, status, result)
	}))
	defer server.Close()
	meter := traffic.NewMeter(func(id.HostID) bool { return false })
	client := link.NewCountingClient(meter)
	host := id.HostID(server.Listener.Addr().String())
	for _, uri := range []string{"/refused", "/answered", "/refused-503"} {
		result := client.Send(t.Context(), host, &link.Attempt{
			Service: "s", Idempotent: true, Method: http.MethodGet, URI: uri, Host: "h", Header: http.Header{}, Body: &link.Body{},
		}, noSignals{})
		if wanted := map[bool]hop.Verdict{true: hop.Ran, false: hop.NotRun}[uri == "/answered"]; result.Verdict != wanted {
			t.Errorf("%s: %+v", uri, result)
		}
		if result.Rest != nil {
			if _, err := io.Copy(io.Discard, result.Rest); err != nil {
				t.Fatal(err)
			}
			result.Close()
		}
	}
	got := meter.Cross()
	if refused := got[traffic.Refused]; refused.Calls != 2 || refused.Sent < 2*50 || refused.Received < 2*50 || refused.Received > 160 {
		t.Errorf("refused: %+v", refused)
	}
	if answered := got[traffic.Answered]; answered.Calls != 1 || answered.Received < long || answered.Received > long+600 {
		t.Errorf("answered: %+v", answered)
	}
	server.Close()
	client.Send(t.Context(), host, &link.Attempt{
		Service: "s", Idempotent: true, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Body: &link.Body{},
	}, noSignals{})
	if got := meter.Cross(); got[traffic.Other].Sent > 400 || got[traffic.Refused].Calls != 2 {
		t.Errorf("after the loss of the host: %+v", got)
	}
}
