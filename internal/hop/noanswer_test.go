package hop_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
)

// TestNoAnswerOfGate guards against bytes that are no answer of a gate and are taken for its response.
func TestNoAnswerOfGate(t *testing.T) {
	fake := &clock.Fake{}
	for _, answer := range hoptest.NoAnswers() {
		for _, verdict := range []hop.Verdict{hop.Ran, hop.NotRun} {
			t.Run(answer.Name+" "+string(verdict), func(t *testing.T) {
				host, err := hoptest.NewTarget(func(conn net.Conn, _ *http.Request) bool {
					header := http.Header{}
					hop.Response{Attempt: sample().Attempt, Verdict: verdict, Clock: hop.ReadGateClock(7, fake.Now()), Length: -1}.Encode(header)
					var fields strings.Builder
					_ = header.Write(&fields)
					return answer.Send(conn, fields.String())
				})
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = host.Close() }()
				client := hop.NewClient(hop.Config{}, fake)
				defer client.Close()
				client.ObserveClock(host.Address(), hop.ReadGateClock(7, fake.Now()), fake.Now())
				for range 2 {
					got, err := client.Do(context.Background(), hop.Call{
						Peer: host.Address(), Request: sample(), Method: http.MethodGet, Host: "fleet", Header: http.Header{},
						Expiry: fake.Now().Add(time.Second),
					})
					if err == nil {
						t.Fatalf("status %d, verdict %s", got.Status, got.Verdict)
					}
					var broken *hop.BrokenError
					if !errors.As(err, &broken) || !broken.Sent {
						t.Fatalf("error %v", err)
					}
				}
				if host.Conns() != 2 {
					t.Fatalf("%d connections for 2 calls", host.Conns())
				}
			})
		}
	}
}
