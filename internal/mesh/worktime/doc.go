// Package worktime estimates how long work usually takes, and from when on it is overdue.
//
// Gates measure the work of their own target. Entries measure the attempts of all gates and tell a gate what they know,
// because a gate that has just started has no samples of its own and would take hanging work for slow work.
package worktime
