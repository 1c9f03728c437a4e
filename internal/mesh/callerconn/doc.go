// Package callerconn wraps callers' connections, so that requests which a caller sends before the earlier ones are
// answered (pipelining) are treated like any others.
//
// net/http answers the requests of a connection one after the other, in order. While it serves one of them it reads a
// single byte ahead, to notice that the caller has closed the connection. A caller that has already sent its next request
// makes it stop there, so that it no longer notices. A Conn goes on reading then, up to a bound, and reports that the
// caller has left. What the caller sent before it left is dropped and never passed on.
//
// A Conn also remembers when the bytes of each request were received: the deadline of a request that waits behind others
// runs from then and not from its turn.
//
// Memory: at most maxAhead bytes for each connection and maxAheadInAll for all of them. Beyond that a caller's leaving is
// noticed at the next turn of its connection.
package callerconn
