// Package mesh groups the parts of the daemon that runs beside every target on a platform with a row store.
//
// A request's way: package entry accepts it, package policy authorises it and names its route, package limits takes
// a token of its customer's rate, package choose picks a host, package link carries the attempt there, package gate
// admits it by package slots and runs it on the local target through package targetconn.
//
// The state's owners: package statesync holds the operator's policy and the roster of hosts, both read from the
// store or, while the store is out of reach, from another daemon; package slots holds the judgement on the local
// target; package choose holds what one entry knows of the gates. Nothing is kept on a host.
//
// An attempt arrives at one daemon only, so "at most once" needs no record: an attempt that may have reached a
// target is not sent again unless its route is idempotent.
//
// The decision packages policy, roster, choose and slots do no I/O, start no goroutines and take the time as an
// argument.
package mesh
