// Package experiment runs a whole fleet on loopback inside one process: the
// platform emulator, the daemons, the emulated targets and an open-loop load,
// with faults at stated times. An experiment is a TOML file under experiments/;
// the same seed gives the same arrivals, service times and faults.
//
// The daemons talk over real sockets, but share one process and its garbage
// collector, so latencies are those of one busy machine, not of a network.
package experiment
