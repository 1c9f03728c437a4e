// Package hangup tells whether the other side of a connection has closed it, without reading from the connection.
//
// net/http notices that a caller has left on a goroutine of its own. A process that was paused, or a machine that was
// suspended, finds requests in its sockets whose callers left meanwhile, and would start them before that goroutine runs.
package hangup
