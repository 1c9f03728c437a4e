// Package statesync keeps what all daemons share: the operator's policy and the roster of hosts.
//
// Both live in the platform's row store. The operator writes the policy; each daemon writes the one record of its own
// host, only when it changes and only on the condition that the row is the one it last saw, so that a delayed write
// of an earlier process changes nothing. Each daemon watches both.
//
// Failure behaviour: while the store is out of reach, a daemon keeps what it knows and asks another host, a different
// one each time, for anything newer. A store that lost its history is read anew. A policy never goes back to an older
// version, and one that cannot be used changes nothing. Rows of other writers that make no sense are skipped.
//
// The number of calls grows with the changes and not with time: an idle watch costs one call per WatchWait.
package statesync
