package ratesim

import (
	"math/bits"

	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// varint returns the encoded size of a protobuf varint field in bytes; zero values are left out.
func varint(v uint64) int {
	if v == 0 {
		return 0
	}
	return 1 + (bits.Len64(v)+6)/7
}

// nested returns the size of a length-delimited field.
func nested(size int) int {
	return varint(uint64(max(size, 1))) + size
}

// requestBytes returns the size of a call with one request as protobuf.
func requestBytes(r ratelimit.Request) int {
	size := varint(r.ID) + nested(len(r.Customer)) + varint(uint64(r.Need)) + varint(uint64(r.Want)) + varint(uint64(r.Part))
	for _, report := range r.Reports {
		closed := uint64(0)
		if report.Closed {
			closed = 1
		}
		size += nested(varint(uint64(report.Grant.Epoch)) + varint(report.Grant.Sequence) +
			varint(uint64(report.Spent)) + varint(uint64(report.Age.Microseconds())) + varint(closed))
	}
	return nested(size)
}

// replyBytes returns the size of an answer with one reply as protobuf.
func replyBytes(r ratelimit.Reply) int {
	return nested(varint(r.ID) + varint(uint64(r.Status)) + varint(uint64(max(r.Grant.Epoch, r.ImmediateGrant.Epoch))) + varint(r.Grant.Sequence) +
		varint(uint64(r.Tokens)) + varint(uint64(r.Immediate)) + varint(uint64(r.Level)) + varint(uint64(r.Part)) + varint(r.ImmediateGrant.Sequence) + varint(uint64(r.RetryAfter.Microseconds())) + varint(uint64(r.ReportWithin.Microseconds())))
}
