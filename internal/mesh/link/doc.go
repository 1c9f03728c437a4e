// Package link sends attempts from an entry to the gate of another host and returns their results.
//
// An attempt is the caller's request with one more header, Bl-Attempt. The response is the target's response with one
// more header, Bl-Result, whose verdict says whether the attempt was not run, was run, or may have been run.
//
// The gate acknowledges an attempt with an informational response and reports with others that it has started or takes
// far longer than usual. The body of an attempt is held back (Expect: 100-continue) until the gate requests it, which
// the gate does only when the attempt has a slot. For a route that is not idempotent even an empty body is held back:
// as long as the gate has not received it, the attempt provably was not run, whatever happened to the connection. The
// same is done for idempotent attempts at a host that the latest attempt did not reach, so that a failure there uses
// none of the repeat budget, which is meant for failing targets. At other hosts it is not done, because the attempt
// would occupy a slot for another round trip.
//
// Failures: Send never returns an error. If the connection cannot be made, or breaks before the request is sent or
// before a held-back body is released, the verdict is not-run; after that it is unknown.
package link
