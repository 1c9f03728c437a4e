// Package statesync replicates the state that all daemons share: the operator's policy and the roster of hosts.
//
// Both are stored in the platform's row store. One host of each failure domain watches them there (a relay), and the others poll
// it. The operator writes the policy. Each daemon
// writes a single record, that of its own host, when the record changes. The write is conditional on the revision that
// the daemon last saw, so that a delayed write of an earlier process has no effect.
//
// Failure behaviour: while the store is unreachable, a daemon keeps the last known state and polls peers, a random one
// each time, for anything newer. A store that lost its change history is scanned again. A policy is never replaced by an
// older version or by an invalid one. Invalid rows of other writers are skipped.
//
// Silence proves nothing: a watch may be left unanswered, and a relay may be frozen. Only answers confirm that a part is current.
// Each host asks the store itself when its policy was not confirmed for a share of the time within which a new one must be in
// force. The number of calls depends on the number of changes and of failure domains, not of hosts.
package statesync
