// Package crashes keeps requests that crash targets away from them.
//
// A gate reports the attempts in flight when its target refuses connections after one of them broke off. The evidence
// is judged by package quarantine and travels in the host's record, which is written anyway when the target is back.
// Entries and gates refuse a request that the evidence singles out; it has not run then.
//
// Failure behaviour: without the store, evidence stays on the host that saw the crash, and the request takes more
// targets until other hosts have evidence of their own. A target that falls silent without refusing connections leaves
// no evidence.
package crashes
