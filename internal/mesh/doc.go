// Package mesh groups the parts of the daemon that runs beside every target on a platform with a row store.
//
// Path of a request: package entry accepts it, package policy authorises it and finds its route, package limits takes
// a token from its customer's rate limit, package choose picks a host, package link sends the attempt there, and
// package gate admits it with package slots and runs it on the local target through package targetconn.
//
// Ownership of state: package statesync holds the operator's policy and the roster of hosts, both read from the store
// or, while the store is unreachable, from another daemon; package slots holds the health of the local target; package
// choose holds what one entry has learned about the gates. No state is persisted on a host.
//
// Each attempt is sent to one daemon only, so at-most-once execution needs no shared record: after an attempt that may
// have run, a request is repeated only if its route is idempotent.
//
// Packages policy, roster, choose and slots do no I/O, start no goroutines and take the time as an argument, except that
// choose.Shared reads a clock.
package mesh
