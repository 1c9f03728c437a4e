package platform

import "net/http"

// discard is a response writer that drops the response.
type discard struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header {
	return d.header
}

// Write implements http.ResponseWriter.
func (d discard) Write(data []byte) (int, error) {
	return len(data), nil
}

// WriteHeader implements http.ResponseWriter.
func (d discard) WriteHeader(int) {}
