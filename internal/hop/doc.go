// Package hop defines the messages between an entry and a gate, and the entry's client for them.
//
// An attempt travels as one HTTP request to Path with the caller's method, body and end-to-end headers;
// the hop headers carry everything else. The response echoes the attempt id in its header and, after the last
// byte of the body, in its trailer. A response without the id in its header is rejected, and a body without the
// trailer ends with ErrTruncated, never with io.EOF.
//
// A failed call returns a *BrokenError, which says whether any byte may have been sent. The client never sends a
// request twice, not even if the first connection turns out to be closed.
package hop
