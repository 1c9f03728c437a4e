// Package gate runs attempts on the targets of its own host and proves what became of each.
//
// The gate is the only path to its targets. An attempt passes the table of package attempt, waits in the
// queue for a slot and is dispatched at most once. The permission to dispatch (validity stamp, key, remaining
// time, target state, block marks) is checked when the first byte is about to be written to the target's
// connection, after the last wait. Until then every refusal says "not-run"; afterwards only a target that
// declares that it did not run the request leads to "not-run".
//
// A target that announces "draining" or "leaving" gets no attempt that was not dispatched by then. A target
// that stops announcing is forgotten; attempts that it is running go on until they end or time out.
//
// The target receives the caller's end-to-end headers, X-Customer-Id and X-Request-Timeout-Ms, never a key.
// When the entry's connection breaks, the target's request is cancelled.
package gate
