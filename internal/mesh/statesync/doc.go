// Package statesync replicates the state that all daemons share: the operator's policy and the roster of hosts.
//
// Both are stored in the platform's row store. Each daemon watches the policy there. One host of each failure domain
// watches the roster, and the others poll it (a relay). The operator writes the policy. Each daemon
// writes a single record, that of its own host, when the record changes. The write is conditional on the revision that
// the daemon last saw, so that a delayed write of an earlier process has no effect.
//
// Failure behaviour: while the store is unreachable, a daemon keeps the last known state and polls peers, a random one
// each time, for anything newer. A store that lost its change history is scanned again. A policy is never replaced by an
// older version or by an invalid one. Invalid rows of other writers are skipped.
//
// The number of calls depends mainly on the number of changes: an idle watch costs one call per WatchWait on the
// hosts that poll a relay, and on the relays one call per confirmWait and rosterWatchWait. Silence proves nothing: a watch
// may be left unanswered, so that only answers, of the store or of a relay, confirm that a part is current.
package statesync
