package gate

import (
	"io"
	"sync"
)

// slotHolder frees the slot when a streamed answer ends.
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
