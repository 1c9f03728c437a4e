package link

import (
	"bytes"
	"io"
)

// Body is the body of a request. Its beginning is buffered in memory; a body that is buffered whole can be sent again.
type Body struct {
	// Data is the buffered beginning.
	Data []byte
	// Rest is the part after Data; nil when there is none.
	Rest io.Reader
	// Length is the length of the whole body in bytes, -1 when unknown.
	Length int64
}

// Empty reports whether there is no body.
func (b *Body) Empty() bool {
	return len(b.Data) == 0 && b.Rest == nil
}

// Replayable reports whether the whole body is in memory.
func (b *Body) Replayable() bool {
	return b.Rest == nil
}

// Prefetch reads up to limit bytes and appends them to Data. An error means that the body could not be read.
func (b *Body) Prefetch(limit int64) error {
	if b.Rest == nil {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(b.Rest, limit))
	b.Data = append(b.Data, data...)
	if err != nil {
		return err
	}
	if int64(len(data)) < limit || int64(len(b.Data)) == b.Length {
		b.Rest, b.Length = nil, int64(len(b.Data))
	}
	return nil
}

// reader returns a reader of the whole body for one attempt.
func (b *Body) reader() io.Reader {
	if b.Rest == nil {
		return bytes.NewReader(b.Data)
	}
	return io.MultiReader(bytes.NewReader(b.Data), b.Rest)
}
