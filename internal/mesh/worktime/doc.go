// Package worktime estimates how long work usually takes and after which time it is overdue.
//
// Gates measure the work of their own target. Entries measure the attempts at all gates and send their limit along,
// because a gate that has just started has no samples of its own and could not tell hung work from slow work.
package worktime
