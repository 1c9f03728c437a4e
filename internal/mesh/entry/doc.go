// Package entry accepts requests on a host and runs each one on a target of the mesh.
//
// A request is matched to a route, its key is checked and removed, a token of its customer's rate limit is taken, and
// then attempts are made at hosts until the request is answered or refused. A refusal with status 429 or 503 guarantees
// that the request has not run and will not run; after any other failure it may have run.
//
// Hosts are first tried without queueing. When all hosts that were tried are full, the request queues at the least busy
// one. A suspected target is used only when no other one is left. On a route that is not idempotent, another attempt
// follows only when the previous one provably did not run. On an idempotent route a request may also be repeated:
// retried after a failure, or hedged beside an attempt that takes far longer than usual. Repeats are limited by the
// route's number of attempts and by the retry budgets of the gates.
//
// The package is designed for targets that hang for a part of their work, hosts that stop responding, and bursts that
// fill some gates while others have room.
package entry
