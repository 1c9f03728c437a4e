// Package capacity measures what one daemon costs at a given fleet size and
// what the request path adds, for docs/CAPACITY.md.
//
// Standins is a process of its own: the platform emulator with a generated
// catalogue and one gossip service per simulated host, so that the memory and
// the processor time of the measured process are those of one real daemon. The
// simulated hosts exchange with each other by direct calls of the real handlers
// and with the measured daemon over TCP, where Standins counts bytes (payload
// of TCP, without IP and TCP headers).
//
// Failure behaviour: a measurement that does not become ready in time, or whose
// load fails, returns an error and no figures.
package capacity
