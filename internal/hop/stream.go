package hop

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// streamBuffer is the size of the buffer between the two ends of a stream, in bytes.
	streamBuffer = 32 << 10
	// headerDelay is the longest time that a header waits for the first bytes of its body. Most bodies
	// follow at once, and one write for both saves a system call.
	headerDelay = 2 * time.Millisecond
)

// buffers reuses stream buffers.
var buffers = sync.Pool{New: func() any { return new([streamBuffer]byte) }}

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

// Stream copies a body to a response whose header was set, and flushes after each read that is not known to
// be the last. It returns nil at io.EOF, a *WriteError when the receiver failed, and otherwise the source's error.
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

// Copy runs the stream.
func (s *Stream) Copy(body io.Reader) error {
	if s.Length != 0 {
		timer := time.AfterFunc(headerDelay, s.flushHeader)
		defer timer.Stop()
	}
	defer s.finish()
	buffer := buffers.Get().(*[streamBuffer]byte)
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

// write passes one piece on.
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

// flushHeader sends the header when the body is late.
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

// finish keeps the timer from using the response after Copy returned.
func (s *Stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
}
