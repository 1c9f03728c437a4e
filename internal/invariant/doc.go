// Package invariant checks conditions that must hold in every build.
// A broken invariant panics: continuing could duplicate a booking or admit a
// withdrawn key, which is worse than a restart.
package invariant
