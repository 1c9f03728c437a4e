// Package clock provides monotonic time, with a fake clock for tests.
// Readings count from the creation of the clock, so readings of different
// processes have no common origin and must not be compared.
package clock
