// Package daemon assembles the process that runs beside a target from the parts of package mesh, and manages their
// listeners and their lifecycle.
//
// Lifecycle: Provision opens the listeners, Run serves until its context ends and then drains, Cleanup releases the
// resources. During the drain the entry keeps serving callers for a while, because they move to another host only after
// readiness probes have failed; the gate refuses new attempts at once, so that the entries of other hosts pick another
// gate.
package daemon
