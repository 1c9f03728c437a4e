// Package roster defines the records of the hosts: their address, failure domain, service and the state of their target.
//
// Each daemon writes the record of its own host, and daemons read all records from the store. A record is advisory: the
// gate itself decides about each attempt, so that a stale record can cause a refused attempt but never an incorrect run.
package roster
