// Package entry accepts requests on a host and answers each one truthfully.
//
// A request is matched to a route, its key is checked and removed, a token of its customer's rate is taken, and then
// it is attempted at hosts until it is answered or refused. A refusal with status 429 or 503 states that the request
// has not run and never will; every other failure leaves that open.
//
// Hosts are first asked without waiting. When all that were asked are full, the request waits at the least busy one,
// and a suspected target is used only when no other one is left. An attempt on a route that is not idempotent is
// followed by another only after a proved not-run. One on an idempotent route may also be repeated after a failure,
// or beside an attempt that takes far longer than usual, within the route's number of attempts and the gates' budget
// for repeats.
//
// Load that this answers: targets that hang for a part of their work, hosts that fall silent, and bursts that fill
// some gates while others have room.
package entry
