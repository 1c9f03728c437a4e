// Package slots implements admission control, queueing and outlier detection for the target of one gate.
//
// A target works on a known number of attempts at once, its slots. The gate never exceeds it: further attempts are
// queued at the gate or refused there. Such a refusal proves that the attempt did not run, so that the entry can safely
// try another gate. The queue is ordered by class (nested attempts, then ranks), then by whether an attempt can still
// meet its objective, then by the recent work of its customer, least first.
//
// The design covers bursts of about twice the usual rate, one customer that sends several times its usual rate, and
// targets that hang, slow down or fail a part of their work while their health check passes.
//
// Attempts that take much longer than usual and attempts that fail make a target suspected. A suspected target gets
// only one idempotent attempt per trial interval and the attempts that no other gate would take. Suspicion decays with
// successes and also with time, because a suspected target gets little work and only work can show that it has
// recovered.
//
// The package does no I/O, starts no goroutines and is not safe for concurrent use.
package slots
