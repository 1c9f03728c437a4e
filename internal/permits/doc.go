// Package permits carries ejection permits between gates and permit homes over twirp.
//
// Server answers for the services whose permit home this daemon is. It checks
// at every request that the duty is confirmed, and keeps one ejection.Home per
// service and epoch. Client sends the requests and releases of this gate's
// judge to the homes.
//
// Failure behaviour: a request without an answer counts as unreachable, the
// judge repeats it. A lost release delays the home until the lease ends. A
// daemon whose duty is not confirmed answers not-home and grants nothing.
package permits
