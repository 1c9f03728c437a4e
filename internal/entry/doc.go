// Package entry accepts callers' requests, sends them to gates and states in every refusal whether the request may
// have run.
//
// A request is authenticated, stripped of its key, matched to a route, checked against quarantine and the
// customer's rate limit, claimed in the ledger when it carries an idempotency key on a non-idempotent route, and
// then attempted at gates until it is answered or refused. The statement of a refusal is its field "run".
//
// A request on a non-idempotent route is attempted again only after proof that the attempt did not run. One on
// an idempotent route may also be attempted again after an unknown outcome or a target error, within the retry
// budget.
//
// Up to 64 KiB of a request body are held in memory for fingerprints and retries; the rest is streamed once.
// Responses are streamed. If a response ends early after its header was sent, the caller's connection is aborted.
package entry
