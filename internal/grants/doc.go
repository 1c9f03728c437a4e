// Package grants connects the rate-limit decisions of package ratelimit: it
// carries requests from entries to homes over twirp and lets callers wait for
// tokens.
//
// Service.Admit answers at once when a token is at hand. Otherwise it waits for
// homes for at most the configured time. A home that does not answer within the
// call timeout is passed over for a while; the customer then gets the rate of
// the homes that answer, never more. Lost messages cost tokens, which refill.
package grants
