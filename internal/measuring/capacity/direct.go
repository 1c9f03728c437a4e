package capacity

import (
	"bytes"
	"io"
	"net/http"
)

// direct is a transport that calls the handlers of simulated hosts without a
// connection and sends other calls on.
type direct struct {
	handlers map[string]http.Handler
	next     http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (d *direct) RoundTrip(r *http.Request) (*http.Response, error) {
	handler, ok := d.handlers[r.URL.Host]
	if !ok {
		return d.next.RoundTrip(r)
	}
	recorded := &recorder{header: make(http.Header), status: http.StatusOK}
	handler.ServeHTTP(recorded, r)
	return &http.Response{
		StatusCode:    recorded.status,
		Header:        recorded.header,
		Body:          io.NopCloser(&recorded.body),
		ContentLength: int64(recorded.body.Len()),
		Request:       r,
	}, nil
}

// recorder keeps a response in memory.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }
