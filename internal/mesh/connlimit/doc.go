// Package connlimit bounds what the connections of an http.Server hold.
//
// A Guard wraps a server's listener twice. Accepting, next to the socket, bounds the number of connections, charges answers that
// readers have not taken, and ends a write when the reader takes nothing for a while. Reading, next to the server, holds the head of a
// request as raw bytes until it is whole, within a bound of size and time, charges it with what its fields cost, and passes it on. It
// follows the length or the chunks of a body to find the next head; where the end of a body is in doubt, the connection ends with the
// answer.
//
// What is refused has not run: a head that does not fit into the account gets 503 with Retry-After, a connection beyond the bounds 503
// or none, and a connection that has to give way is closed. All decisions are those of package memaccount.
package connlimit
