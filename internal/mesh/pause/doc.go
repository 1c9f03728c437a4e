// Package pause detects that the process did not run for a while: it was stopped by a signal, starved of processor time,
// or its machine was suspended.
//
// What the process reads from its sockets right after a pause may have arrived at any time during it. Requests are then
// taken to be as old as the pause, so that none is started whose caller has stopped waiting. The package does no I/O and
// starts no goroutines; its user calls Tick periodically.
package pause
