// Package gate runs attempts on the targets of its own host and reports a proved outcome for each.
//
// The gate is the only path to its targets. An attempt is recorded in the table of package attempt, waits in
// the queue for a slot and is dispatched at most once. The conditions for the dispatch (validity stamp, key,
// remaining time, target state, quarantine, block marks) are checked when the first byte is about to be
// written to the target's connection, after the last wait. Until then every refusal is "not-run"; afterwards
// the verdict is "not-run" only if the target declares that it did not run the request.
//
// After a target announces "draining" or "leaving", no further attempt is dispatched to it. A target that
// stops announcing itself is removed; attempts that it is running continue until they end or time out.
//
// The target receives the caller's end-to-end headers, X-Customer-Id and X-Request-Timeout-Ms, never a key.
// When the entry's connection breaks, the request to the target is cancelled.
package gate
