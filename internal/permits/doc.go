// Package permits carries ejection permits between gates and permit homes over twirp.
//
// Server handles requests for the services whose permit home is this daemon. It
// checks on every request that the duty is confirmed, and keeps one
// ejection.Home per service and tenure. Client sends the permit requests and
// releases of this gate's judge to the homes.
//
// Failure behaviour: a request without a reply counts as unreachable, and the
// judge sends it again. After a lost release the home counts the permit until
// its lease ends. A daemon whose duty is not confirmed replies not-home and
// grants nothing.
package permits
