package targetconn

import (
	"io"
	"net/http"
)

// Response is a target's answer.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body if Rest is nil, and its beginning otherwise.
	Body []byte
	// Rest is the remainder of a long body. It must be closed. A read error means that the answer is not complete.
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes, -1 when unknown.
	Length int64
}
