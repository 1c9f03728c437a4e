// Package callerconn serves callers that send further requests on a connection before the earlier ones are answered
// (pipelining).
//
// net/http answers the requests of a connection one after the other, and while it serves one it reads a single byte
// ahead, to notice that the caller has closed the connection. A caller that has already sent its next request makes it
// stop there. A Front adds, without replacing the server:
//
//   - Leaving: a Conn goes on reading, up to a bound, and ends the contexts of its requests when the caller leaves. What
//     the caller sent before it left is dropped and never passed on.
//   - Time: the deadline of a request runs from when it was received and not from its turn (Received).
//   - Serving ahead: requests without a body that may run more than once are served while the earlier ones are, and their
//     answers are written in order. A request that may run only once waits for its turn.
//   - Closing: an answer closes the connection of a draining process only if nothing was read behind it: a caller sends a
//     booking again after a closed connection only if it was not read. CloseAll ends a connection by ending the server's wait
//     for the next request, so that a request that arrives at that moment is either answered or left unread. A connection
//     that ends with unread requests is closed in two steps, so that the caller gets the last answer.
//
// Serving ahead needs the boundaries of requests. A Conn finds them only in a sequence of complete GET and HEAD requests
// without a body; at anything else it passes all later bytes of the connection through as they are.
//
// Bounds: maxAhead bytes and maxServedAhead requests for each connection, MaxAhead and maxServedAheadInAll for all
// of them, maxBufferedAnswer bytes of an answer before its turn. Beyond them requests wait for their turn, and a caller's
// leaving is noticed at the next turn of its connection.
package callerconn
