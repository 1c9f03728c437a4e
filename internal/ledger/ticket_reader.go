package ledger

import "encoding/binary"

// ticketReader reads the fields of a ticket body. After a failure every read returns a zero value.
type ticketReader struct {
	rest   []byte
	failed bool
}

// uvarint reads an unsigned varint.
func (r *ticketReader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if r.failed || size <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

// take reads n bytes.
func (r *ticketReader) take(n int) []byte {
	if r.failed || len(r.rest) < n {
		r.failed = true
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

// name reads a length-prefixed name.
func (r *ticketReader) name() string {
	n := r.uvarint()
	if n > maxNameBytes {
		r.failed = true
		return ""
	}
	return string(r.take(int(n)))
}
