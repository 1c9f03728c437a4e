package targetconn

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the beginning of the body; Rest is the remainder, nil if there is none.
	Body []byte
	Rest io.Reader
	// Length is the length of the whole body in bytes, -1 if unknown.
	Length int64
	// IDHeader names the header with the request's id. The target echoes it, which identifies the response.
	IDHeader string
	// IsRefusal reports whether a response says that the target has not run the request. A refusal is accepted although it
	// does not echo the id. Nothing tells a second, late copy of it from the refusal of a later request, so that the
	// connection is not used again.
	IsRefusal func(*http.Response) bool
	// Stamp sets the headers that depend on the time, once there is a connection. It may be nil.
	Stamp func(http.Header)
	// Permit returns an error once the request must not be sent any more. It is called right before each system call that
	// hands bytes of the request to the kernel, and right after it; began says whether one has handed over any before. It
	// may be nil.
	Permit func(began bool) error
	// Fresh requires a connection that was idle for less than FreshIdleLimit, or a new one.
	Fresh bool
}

// requestLineWriter replaces the request line of a request that net/http writes, because net/http changes some request
// targets: one that begins with two slashes would become an absolute URL.
type requestLineWriter struct {
	out io.Writer
	// line is the request line to write; it is nil once it was written.
	line []byte
}

// requestLine returns the request line.
func (r *Request) requestLine() []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\n", r.Method, r.URI)
}

// Write implements io.Writer.
func (w *requestLineWriter) Write(p []byte) (int, error) {
	if w.line == nil {
		return w.out.Write(p)
	}
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return len(p), nil
	}
	line := w.line
	w.line = nil
	n, err := w.out.Write(append(line, p[end+1:]...))
	return max(n-len(line)+end+1, 0), err
}

// encode converts the request to one that net/http can write, but for its request line.
func (r *Request) encode() *http.Request {
	out := &http.Request{
		Method: r.Method, URL: &url.URL{Path: "/"}, Host: r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header,
	}
	if _, named := r.Header["User-Agent"]; !named {
		// An empty value keeps net/http from adding its own.
		r.Header["User-Agent"] = []string{""}
	}
	switch {
	case r.Rest != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(r.Body), r.Rest))
		out.ContentLength = r.Length
	case len(r.Body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
		out.ContentLength = int64(len(r.Body))
	}
	return out
}
