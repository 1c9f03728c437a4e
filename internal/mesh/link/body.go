package link

import (
	"bytes"
	"io"
	"sync/atomic"
)

// MaxBufferedBody bounds the part of a request body that a host holds in memory, in bytes. The rest is streamed.
const MaxBufferedBody = 64 << 10

// Body is the body of a request. Its beginning is buffered in memory, the rest is read once, while it is sent.
type Body struct {
	// Data is the buffered beginning.
	Data []byte
	// Rest is the part after Data; nil when there is none.
	Rest io.Reader
	// Length is the length of the whole body in bytes, -1 when unknown.
	Length int64
	// sent is set once an attempt may have read a part of Rest.
	sent atomic.Bool
}

// Empty reports whether there is no body.
func (b *Body) Empty() bool {
	return len(b.Data) == 0 && b.Rest == nil
}

// Whole reports whether the whole body is in memory, so that several attempts can send it at the same time.
func (b *Body) Whole() bool {
	return b.Rest == nil
}

// Replayable reports whether the body can be sent again after an attempt has ended. Until an attempt has been asked for
// the body, nothing of it is lost, however long it is.
func (b *Body) Replayable() bool {
	return b.Rest == nil || !b.sent.Load()
}

// MarkSent records that an attempt begins to send the body.
func (b *Body) MarkSent() {
	if b.Rest != nil {
		b.sent.Store(true)
	}
}

// Prefetch reads the beginning of the body, until Data holds limit bytes or the whole body. An error means that the
// body could not be read.
func (b *Body) Prefetch(limit int) error {
	if b.Rest == nil || len(b.Data) >= limit {
		return nil
	}
	if b.Length >= 0 {
		return b.prefetchKnown(int(min(int64(limit), b.Length)))
	}
	data, err := io.ReadAll(io.LimitReader(b.Rest, int64(limit-len(b.Data))))
	b.Data = append(b.Data, data...)
	if err == nil && len(b.Data) < limit {
		b.Rest, b.Length = nil, int64(len(b.Data))
	}
	return err
}

// prefetchKnown reads until Data holds size bytes of a body whose length is known.
func (b *Body) prefetchKnown(size int) error {
	buffer := make([]byte, size)
	n := copy(buffer, b.Data)
	read, err := io.ReadFull(b.Rest, buffer[n:])
	b.Data = buffer[:n+read]
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && int64(size) == b.Length {
		b.Rest = nil
	}
	return err
}

// reader returns a reader of the whole body for one attempt.
func (b *Body) reader() io.Reader {
	if b.Rest == nil {
		return bytes.NewReader(b.Data)
	}
	return io.MultiReader(bytes.NewReader(b.Data), b.Rest)
}
