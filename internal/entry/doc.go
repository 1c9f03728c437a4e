// Package entry accepts callers' requests and answers each one truthfully.
//
// A request is authenticated, stripped of its key, matched to a route, checked against quarantine and the
// customer's rate, claimed in the ledger when it carries an idempotency key on a non-idempotent route, and
// then attempted at gates until it is answered or refused. Every refusal states in "run" whether the request
// may have run.
//
// A request on a non-idempotent route is attempted again only after a proved not-run. One on an idempotent
// route may also be attempted again after an unknown outcome or a target error, within the retry budget.
//
// Up to 64 KiB of a request body are held in memory for fingerprints and retries; the rest is streamed once.
// Responses are streamed. A response that breaks off after its first byte aborts the caller's connection.
package entry
