// Package load sends open-loop traffic to the fleet and judges what came back.
//
// Arrivals follow a seeded Poisson process that does not wait for answers, so
// that a stall shows up as latency instead of lower load. Latency is measured
// from the scheduled arrival. Afterwards the records are compared with the
// runs that the targets counted: duplicates, losses and untrue refusals.
package load
