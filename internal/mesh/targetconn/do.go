package targetconn

import (
	"context"
	"errors"
	"io"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

const (
	// keptAnswer is the largest answer that is read before it is returned, in bytes. An answer that breaks off
	// before that can be repeated elsewhere.
	keptAnswer = 64 << 10
	// maxStrayAnswers bounds the answers to earlier requests that are skipped on one connection.
	maxStrayAnswers = 4
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
	// inlineBody is the largest body that is written before the answer is read, in bytes. A target may answer a
	// longer one early, while the connection takes no more bytes.
	inlineBody = 16 << 10
)

// Do sends a request and returns its answer. The error is an *Error. When ctx ends the connection is closed, which
// tells the target to stop.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.Fresh)
	if err != nil {
		return nil, &Error{Step: "connect", Peer: p.address, Err: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	response, reusable, err := p.exchange(c, r)
	if response != nil && response.Rest != nil {
		response.Rest = &rest{ReadCloser: response.Rest, conn: c, stop: stop}
		return response, nil
	}
	if !stop() || err != nil || !reusable {
		c.close()
	} else {
		p.put(c)
	}
	if err != nil && ctx.Err() != nil {
		if failure := (*Error)(nil); errors.As(err, &failure) {
			failure.Err = context.Cause(ctx)
		}
	}
	return response, err
}

// exchange writes the request and reads the answer. reusable says that the connection is clean afterwards.
func (p *Pool) exchange(c *conn, r *Request) (response *Response, reusable bool, err error) {
	written := p.write(c, r)
	if written.failed() != nil && !written.sent() {
		return nil, false, &Error{Step: "send request", Peer: p.address, Err: written.failed()}
	}
	answer, err := p.read(c, r)
	if err != nil {
		return nil, false, &Error{Step: "read answer", Peer: p.address, Sent: true, Err: err}
	}
	out := &Response{Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength}
	out.Body, err = io.ReadAll(io.LimitReader(answer.Body, keptAnswer))
	if err != nil {
		return nil, false, &Error{Step: "read answer's body", Peer: p.address, Sent: true, Err: err}
	}
	if len(out.Body) == keptAnswer {
		out.Rest = answer.Body
		return out, false, nil
	}
	out.Length = int64(len(out.Body))
	if r.Method == http.MethodHead {
		out.Length = answer.ContentLength
	}
	return out, written.finished() && !answer.Close && c.reader.Buffered() == 0, nil
}

// read returns the answer that carries the request's id.
func (p *Pool) read(c *conn, r *Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	wanted := r.Header.Get(r.IDHeader)
	for range maxStrayAnswers {
		answer, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= 100 && answer.StatusCode < 200 {
			continue
		}
		echoed := answer.Header.Get(r.IDHeader)
		if echoed == wanted || (echoed == "" && r.Unfamiliar(answer)) {
			if answer.Header.Get("Content-Encoding") != "" {
				return nil, ErrEncoded
			}
			c.noteIdle(answer.Header)
			hop.StripConnection(answer.Header)
			return answer, nil
		}
		if echoed == "" || answer.Close {
			return nil, ErrNoAnswer
		}
		if _, err := io.CopyN(io.Discard, answer.Body, maxStrayBytes); err != io.EOF {
			return nil, ErrNoAnswer
		}
	}
	return nil, ErrNoAnswer
}

// rest is the remainder of a long body.
type rest struct {
	io.ReadCloser
	conn *conn
	stop func() bool
}

// Close ends the use of the connection.
func (r *rest) Close() error {
	r.stop()
	r.conn.close()
	return nil
}
