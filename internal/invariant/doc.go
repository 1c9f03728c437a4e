// Package invariant provides assertions that are checked in every build.
// A violation panics: continuing could run a booking twice or admit a revoked
// key, which is worse than a restart.
package invariant
