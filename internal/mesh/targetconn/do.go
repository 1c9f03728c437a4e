package targetconn

import (
	"context"
	"errors"
	"io"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

const (
	// maxBufferedBytes bounds the part of a response body that is read before the response is returned. If the response
	// breaks off within it, the request can still be repeated on another host.
	maxBufferedBytes = 64 << 10
	// maxResponses bounds the responses that are read for one request, including informational responses and those to
	// earlier requests, which are skipped.
	maxResponses = 4
	// maxHeadBytes bounds the head of a response. A target in trouble may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxBodyBytes bounds the body of a response. A longer one is broken off.
	maxBodyBytes = 64 << 20
	// maxStrayBodyBytes bounds the body of a skipped response.
	maxStrayBodyBytes = 1 << 20
	// maxInlineBodyBytes bounds the request bodies that are written before the response is read. A target may respond
	// before it has read the whole of a longer one, and writing blocks once the connection's buffers are full.
	maxInlineBodyBytes = 16 << 10
)

// Do sends a request and returns its response. The error is an *Error. When ctx ends, the connection is closed, which
// tells the target to stop.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.Fresh)
	if err != nil {
		return nil, &Error{Step: "connect", Peer: p.address, Err: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	response, reusable, err := p.exchange(c, r)
	if response != nil && response.Rest != nil {
		response.Rest = &restBody{ReadCloser: response.Rest, conn: c, stop: stop, left: maxBodyBytes - maxBufferedBytes}
		return response, nil
	}
	if !stop() || err != nil || !reusable {
		c.close()
	} else {
		p.putIdle(c)
	}
	if err != nil && ctx.Err() != nil {
		if failure := (*Error)(nil); errors.As(err, &failure) {
			failure.Err = context.Cause(ctx)
		}
	}
	return response, err
}

// exchange writes the request and reads the response. reusable reports whether the connection can carry another
// request.
func (p *Pool) exchange(c *conn, r *Request) (response *Response, reusable bool, err error) {
	pending := p.writeRequest(c, r)
	if err := pending.failure(); err != nil && (!pending.sent() || pending.forbidden() != nil) {
		return nil, false, &Error{Step: "send request", Peer: p.address, Sent: pending.sent(), Err: err}
	}
	httpResponse, err := p.readResponse(c, r)
	if err != nil {
		if cause := pending.forbidden(); cause != nil {
			// The connection was closed for that reason while the response was awaited.
			return nil, false, &Error{Step: "send request", Peer: p.address, Sent: pending.sent(), Err: cause}
		}
		return nil, false, &Error{Step: "read response", Peer: p.address, Sent: true, Err: err}
	}
	out := &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Length: httpResponse.ContentLength}
	out.Body, err = io.ReadAll(io.LimitReader(httpResponse.Body, maxBufferedBytes))
	if err != nil {
		return nil, false, &Error{Step: "read response body", Peer: p.address, Sent: true, Err: err}
	}
	if len(out.Body) == maxBufferedBytes {
		out.Rest = httpResponse.Body
		return out, false, nil
	}
	out.Length = int64(len(out.Body))
	if r.Method == http.MethodHead {
		out.Length = httpResponse.ContentLength
	}
	reusable = pending.finished() && !httpResponse.Close && c.reader.Buffered() == 0 && !r.IsRefusal(httpResponse)
	return out, reusable, nil
}

// readResponse returns the response that carries the request's id, or a refusal without one.
func (p *Pool) readResponse(c *conn, r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	wantID := r.Header.Get(r.IDHeader)
	for range maxResponses {
		response, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		gotID := response.Header.Get(r.IDHeader)
		if gotID == wantID || (gotID == "" && r.IsRefusal(response)) {
			if response.Header.Get("Content-Encoding") != "" {
				return nil, ErrContentEncoding
			}
			c.readKeepAlive(response.Header)
			hop.StripConnection(response.Header)
			return response, nil
		}
		if gotID == "" || response.Close {
			return nil, ErrNoMatchingResponse
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxStrayBodyBytes); err != io.EOF {
			return nil, ErrNoMatchingResponse
		}
	}
	return nil, ErrNoMatchingResponse
}

// restBody is the remainder of a long response body.
type restBody struct {
	io.ReadCloser
	conn *conn
	stop func() bool
	// left is the number of bytes that may still come.
	left int64
}

// Read implements io.Reader.
func (r *restBody) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrBodyTooLong
	}
	n, err := r.ReadCloser.Read(p)
	r.left -= int64(n)
	return n, err
}

// Close closes the connection, which is not reused.
func (r *restBody) Close() error {
	r.stop()
	r.conn.close()
	return nil
}
