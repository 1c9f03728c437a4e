// Package memaccount accounts for the memory that a process holds for the connections of others: callers, readiness probes, other
// hosts, targets and operators.
//
// Each connection is a Holder. It is charged for itself, for the head and the body of the request that it carries, and for the part of
// an answer that its reader has not taken. When a charge does not fit, the holders that wait for their other side give way, the one
// with the largest product of bytes and waiting time first. If that is the one that is charged, the charge is refused. A holder whose
// request is whole and being worked on is never chosen. Kept connections without a request give way only when there is nobody else.
//
// The package does no I/O: it names the holders that give way, and its caller ends their connections. Their bytes do not count
// from then on. Releasing never fails and never waits.
package memaccount
