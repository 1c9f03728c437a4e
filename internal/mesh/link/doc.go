// Package link carries attempts from an entry to the gate of another host and brings back what became of them.
//
// An attempt is the caller's request with one header, Bl-Attempt. Its answer is the target's answer with one header,
// Bl-Result, whose verdict says whether the attempt was not run, was run, or may have been run.
//
// The gate shows with an informational response that it has the attempt, and with another one that the attempt takes
// far longer than usual. The body of an attempt is held back until the gate asks for it, and the gate asks only when
// it has a slot. For an attempt on a route that is not idempotent even an empty body is held back: as long as the
// gate did not get it, the attempt provably was not run, whatever happened to the connection. The same holds for
// idempotent attempts at hosts that were not reached lately. They then cost nothing of the budget for repeats, so that
// silent hosts do not use up what is meant for targets that fail. At other hosts it would hold a slot for a round trip.
//
// Failures: a call never returns an error. A connection that could not be made, or that broke before the body was
// released, gives the verdict not-run; any later break gives unknown.
package link
