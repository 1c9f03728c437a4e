// Package daemon assembles the parts of one daemon and runs them.
//
// A Daemon goes through New, Provision, Run and Cleanup. Provision opens the
// listeners and builds every part; Run serves until its context ends and then
// drains: the daemon reports that it is not ready, refuses new requests after a
// grace time, finishes the requests in flight and hands its records over. If a
// part fails while the daemon runs, Run ends with an error; the loss of the
// platform or of peers never ends it.
package daemon
