// Package slots decides which attempts a gate hands to its target, and judges the target by them.
//
// A target works on a known number of attempts at once. The gate never hands it more: an attempt beyond that waits
// at the gate or is refused there, where the refusal provably means "not run" and the entry can ask another gate.
// Waiting attempts are served by rank, then by whether they can still meet their objective, then by how little work
// their customer had lately.
//
// Load that this answers: bursts of about twice the usual rate, one customer that sends several times its usual
// rate, and targets that hang, slow down or fail a part of their work while their health check passes.
//
// A target is judged by attempts that take much longer than usual and by failed ones. A suspected target gets one
// idempotent attempt now and then as a trial, and attempts that no other gate would take. Suspicion fades with
// successes and with time, because only work can show that the target has recovered.
//
// The package does no I/O, starts no goroutines and is not safe for concurrent use.
package slots
