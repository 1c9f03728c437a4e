// Package clock provides monotonic time to the decision packages.
// Readings are durations since the process started, so that readings of
// different hosts cannot be compared by accident.
package clock
