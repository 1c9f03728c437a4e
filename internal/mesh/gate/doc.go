// Package gate runs attempts on the target of its own host and proves what became of each.
//
// The gate is the only path to its target. It hands over no more attempts than the target has slots, refuses the
// rest before a byte reaches the target, and stops at the moment at which the target says that it leaves. A refusal
// is therefore true, and the target's leaving is acknowledged at once.
//
// An attempt ends as not-run, ran or unknown. Only an answer that carries the request's id counts as the target's;
// a success must bear the target's seal. When the entry or the caller goes away, the connection to the target is
// closed, which tells it to stop.
//
// A restarted daemon does not know its target until the target announces itself or the host's record is read back.
package gate
