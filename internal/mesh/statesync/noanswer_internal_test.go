package statesync

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// TestNoAnswerOfPeer guards against bytes that are no answer of another host and count as its state.
func TestNoAnswerOfPeer(t *testing.T) {
	for _, answer := range hoptest.NoAnswers() {
		t.Run(answer.Name, func(t *testing.T) {
			host, err := hoptest.NewTarget(func(conn net.Conn, _ *http.Request) bool {
				return answer.Send(conn, "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n")
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = host.Close() }()
			p := newPeerClient(nil)
			if got, err := p.fetchState(context.Background(), id.HostID(host.Address()), 0, true); err == nil {
				t.Errorf("state %+v", got)
			}
			if got, err := p.fetchRoster(context.Background(), id.HostID(host.Address()), rosterPoll{timeout: time.Second}); err == nil {
				t.Errorf("roster %+v", got)
			}
		})
	}
}
