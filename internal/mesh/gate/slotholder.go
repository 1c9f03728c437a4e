package gate

import (
	"io"
	"sync"
)

// slotHolder is a streamed response body that holds the attempt's slot until it is closed.
type slotHolder struct {
	io.ReadCloser
	once sync.Once
	// err is the error of the last read, io.EOF at the end of the body, nil if the body was not read to its end.
	err error
	// done is called with err when the body is closed.
	done func(err error)
}

// Read implements io.Reader.
func (s *slotHolder) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (s *slotHolder) Close() error {
	s.once.Do(func() { s.done(s.err) })
	return s.ReadCloser.Close()
}
