// Package daemon assembles the process that runs beside a target from the parts of package mesh, and manages their
// listeners and their lifecycle.
//
// Lifecycle: Provision opens the listeners, Run serves until its context ends and then drains, Cleanup releases the
// resources. During the drain the entry keeps serving callers for a while, because they move to another host only after
// readiness probes have failed. The gate still admits calls of other targets that end before the stop does, for as
// long as the process waits for earlier work anyway, and callers' requests that end while the target can make calls of its own. It
// refuses the others, so that their entries pick another gate.
package daemon
