package gate

import (
	"io"
	"sync"
)

// slotHolder is a streamed response body that holds the attempt's slot until it is closed.
type slotHolder struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close implements io.Closer.
func (s *slotHolder) Close() error {
	s.once.Do(s.done)
	return s.ReadCloser.Close()
}
