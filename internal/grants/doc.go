// Package grants runs the rate-limit decisions of package ratelimit: it sends
// requests from entries to homes over twirp and blocks callers until they get a
// token or a refusal.
//
// Service.Admit returns at once when a local token is available. Otherwise it waits
// for homes for at most the configured time. The entry backs off from a home that
// does not reply within the call timeout; the customer then gets the rate of the
// remaining homes, never more. Lost messages waste tokens, which refill.
package grants
