package hop

import (
	"io"
	"net/http"
)

// Answer is a response that belongs to the attempt. Its body must be closed.
type Answer struct {
	Response
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers, without Content-Length.
	Header http.Header
	// Body returns io.EOF only after the certificate of completeness was checked.
	Body io.ReadCloser
}

// newAnswer wraps the body of a response.
func newAnswer(x *exchange, hop Response, response *http.Response, method string) *Answer {
	response.Header.Del("Content-Length")
	body := &certifiedBody{exchange: x, response: response, hop: hop}
	body.bodyless = method == http.MethodHead || Bodyless(response.StatusCode)
	return &Answer{Response: hop, Status: response.StatusCode, Header: response.Header, Body: body}
}

// Bodyless reports whether responses with the status have neither body nor trailer.
func Bodyless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// certifiedBody checks the certificate at the end of the body.
type certifiedBody struct {
	exchange *exchange
	response *http.Response
	hop      Response
	// bodyless responses are complete with their header.
	bodyless bool
	read     int64
}

// Read implements io.Reader. A body that ends without its certificate returns a *BrokenError.
func (b *certifiedBody) Read(p []byte) (int, error) {
	b.exchange.watch.Resume()
	n, err := b.response.Body.Read(p)
	b.exchange.watch.Pause()
	b.read += int64(n)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && b.complete():
		b.exchange.watch.Stop()
		return n, io.EOF
	case err == io.EOF:
		err = ErrTruncated
	}
	return n, b.exchange.fail(err)
}

// complete checks the certificate and the length.
func (b *certifiedBody) complete() bool {
	if b.bodyless {
		return true
	}
	if b.hop.Length >= 0 && b.read != b.hop.Length {
		return false
	}
	return b.response.Trailer.Get(HeaderComplete) == b.hop.Attempt.String()
}

// Close implements io.Closer; closing before the end closes the connection.
func (b *certifiedBody) Close() error {
	err := b.response.Body.Close()
	b.exchange.close(nil)
	return err
}
