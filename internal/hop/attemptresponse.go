package hop

import (
	"io"
	"net/http"
)

// AttemptResponse is a response that was checked to belong to the attempt. Its body must be closed.
type AttemptResponse struct {
	Response
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers, without Content-Length.
	Header http.Header
	// Body returns io.EOF only after the length and the completion trailer have been checked.
	Body io.ReadCloser
}

// newAttemptResponse returns the AttemptResponse for a response and wraps its body in a verifiedBody.
func newAttemptResponse(x *exchange, hop Response, response *http.Response, method string) *AttemptResponse {
	response.Header.Del("Content-Length")
	body := &verifiedBody{exchange: x, response: response, hop: hop}
	body.bodyless = method == http.MethodHead || Bodyless(response.StatusCode)
	return &AttemptResponse{Response: hop, Status: response.StatusCode, Header: response.Header, Body: body}
}

// Bodyless reports whether responses with the status have neither body nor trailer.
func Bodyless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// verifiedBody checks the completion trailer at the end of the body.
type verifiedBody struct {
	exchange *exchange
	response *http.Response
	hop      Response
	// bodyless is true if the response is complete with its header.
	bodyless bool
	read     int64
}

// Read implements io.Reader. It returns a *BrokenError for a body that ends early or without its trailer.
func (b *verifiedBody) Read(p []byte) (int, error) {
	b.exchange.watchdog.Resume()
	n, err := b.response.Body.Read(p)
	b.exchange.watchdog.Pause()
	b.read += int64(n)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && b.complete():
		b.exchange.watchdog.Stop()
		return n, io.EOF
	case err == io.EOF:
		err = ErrTruncated
	}
	return n, b.exchange.fail(err)
}

// complete reports whether the length and the completion trailer are right.
func (b *verifiedBody) complete() bool {
	if b.bodyless {
		return true
	}
	if b.hop.Length >= 0 && b.read != b.hop.Length {
		return false
	}
	return b.response.Trailer.Get(HeaderComplete) == b.hop.Attempt.String()
}

// Close implements io.Closer. Closing before the end of the body closes the connection.
func (b *verifiedBody) Close() error {
	err := b.response.Body.Close()
	b.exchange.close(nil)
	return err
}
