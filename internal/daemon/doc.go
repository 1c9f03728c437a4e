// Package daemon assembles the parts of one daemon and runs them.
//
// A Daemon goes through New, Provision, Run and Cleanup. Provision opens the
// listeners and builds every part; Run serves until its context ends and then
// drains: the daemon turns not ready, refuses new requests after a grace time,
// finishes what is in flight and hands its records over. A part that fails
// while the daemon runs ends Run with an error; the loss of the platform or of
// peers never does.
package daemon
