package hop_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
)

// Guards against the beginning of an answer without a length that is taken for a whole one: a reset that the write of the upload has
// reported looks like the end of the answer to the read (MIXED).
func TestEarlyAnswerThatIsReset(t *testing.T) {
	target, err := hoptest.NewEarlyTarget(func(*http.Request) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return hop.Guard(conn), nil
	}}
	upload := bytes.Repeat([]byte("u"), hoptest.UploadBytes)
	whole := 0
	for range 10 {
		for _, early := range hoptest.EarlyAnswers() {
			target.SetNext(early)
			request, err := http.NewRequest(http.MethodPost, "http://"+target.Address(), bytes.NewReader(upload))
			if err != nil {
				t.Fatal(err)
			}
			response, err := transport.RoundTrip(request)
			if err != nil {
				continue
			}
			if _, err := io.ReadAll(response.Body); err == nil {
				whole++
			}
			_ = response.Body.Close()
		}
	}
	if whole > 0 {
		t.Errorf("%d answers that were reset are taken for whole ones", whole)
	}
}
