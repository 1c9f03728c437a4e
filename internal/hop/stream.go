package hop

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// streamBufferBytes is the size of a stream's copy buffer.
	streamBufferBytes = 32 << 10
	// headerFlushDelay is the longest time that the header is held back for the first bytes of the body. Most
	// bodies follow at once, and one write for both saves a system call.
	headerFlushDelay = 2 * time.Millisecond
)

// buffers is the pool of copy buffers.
var buffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// WriteError reports that the receiver of a stream failed, not its source.
type WriteError struct {
	Err error
}

// Error implements error.
func (e *WriteError) Error() string {
	return "write stream: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error {
	return e.Err
}

// Stream copies a body to a response whose header has been set, and flushes after each write unless it completes
// a body of known length.
type Stream struct {
	W       http.ResponseWriter
	Control *http.ResponseController
	// Length is the body's length in bytes, -1 when unknown.
	Length int64
	// BeforeWrite is called before each write.
	BeforeWrite func()

	mu      sync.Mutex
	written int64
	flushed bool
	done    bool
}

// Copy copies the body. It returns nil at io.EOF, a *WriteError when the receiver failed, and otherwise the
// source's error.
func (s *Stream) Copy(body io.Reader) error {
	if s.Length != 0 {
		timer := time.AfterFunc(headerFlushDelay, s.flushHeader)
		defer timer.Stop()
	}
	defer s.finish()
	buffer := buffers.Get().(*[streamBufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if err := s.write(buffer[:n]); err != nil {
				return &WriteError{Err: err}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// write writes one chunk and flushes it unless it is known to be the last.
func (s *Stream) write(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.BeforeWrite()
	s.flushed = true
	s.written += int64(len(p))
	if _, err := s.W.Write(p); err != nil {
		return err
	}
	if s.written == s.Length {
		return nil
	}
	return s.Control.Flush()
}

// flushHeader sends the header if no body bytes have been written by then.
func (s *Stream) flushHeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flushed || s.done {
		return
	}
	s.flushed = true
	s.BeforeWrite()
	_ = s.Control.Flush()
}

// finish prevents the timer from using the response after Copy has returned.
func (s *Stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
}
