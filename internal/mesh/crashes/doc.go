// Package crashes shares the evidence about requests that crash targets, so that they are quarantined on all hosts.
//
// A gate treats its target as crashed if the target refuses connections after an attempt broke off, and reports all
// attempts that were in flight. Package quarantine evaluates the evidence. It is published in the host's record, which is
// written anyway when the target is back. Entries and gates refuse a quarantined request without running it.
//
// Failure behaviour: without the store, evidence stays on the host that observed the crash, and the request can crash
// more targets until other hosts have evidence of their own. A target that stops responding without refusing connections
// produces no evidence.
package crashes
