// Package hop defines the messages between an entry and a gate, and the entry's client for them.
//
// An attempt travels as one HTTP request to Path with the caller's method, body and end-to-end headers;
// the hop headers carry everything else. The response certifies itself: it echoes the attempt id, and its
// trailer repeats the id after the last byte of the body. A response without the echo is rejected, and a
// body without the trailer reads as ErrTruncated, never as io.EOF.
//
// A failed call returns a *BrokenError, which says whether any byte was sent. The client never sends a
// request twice, not even on a connection that turns out to be closed.
package hop
