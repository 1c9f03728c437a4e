// Package gate runs attempts on the target of its own host and determines the outcome of each.
//
// The gate is the only path to its target. It runs no more attempts at a time than the target has slots, queues or
// refuses the rest before a byte reaches the target, and stops admitting attempts as soon as the target announces that
// it is draining or gone. A refusal therefore guarantees that the attempt did not run, and the announcement of a
// draining target is acknowledged without waiting for running attempts.
//
// An attempt ends as not-run, ran or unknown. Only a response that carries the request's id counts as the target's,
// apart from refusals to run; a successful one must carry the target's seal. When the entry or the caller disconnects,
// the connection to the target is closed, which tells the target to stop.
//
// A restarted daemon has no target until the target announces itself or the host's record is restored. It sends it attempts once it
// was shown that the target runs now, because an announcement may be from before a leaving that an earlier process has acknowledged.
// A target whose leaving was acknowledged stays out of use; the host's record lists it.
package gate
