// Package traffic counts the bytes that a host exchanges with other hosts, by purpose and by whether the other host is
// in the same failure domain.
//
// Only the host that opened a connection counts it, in both directions, so that the sum over all hosts counts each byte
// once. Counted are the bytes of the connection, without TCP and IP headers. HTTP/1.1 carries one call at a time on a
// connection, so all bytes since the previous call belong to the current one. Its purpose may become known only with
// the answer; until then the bytes are pending.
package traffic
