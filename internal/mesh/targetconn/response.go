package targetconn

import (
	"io"
	"net/http"
)

// Response is the response of a target.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body if Rest is nil, and its beginning otherwise.
	Body []byte
	// Rest is the remainder of a long body. It must be closed. A read error means that the response is incomplete.
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes, -1 if unknown.
	Length int64
}
