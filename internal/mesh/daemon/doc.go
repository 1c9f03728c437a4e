// Package daemon assembles the process that runs beside a target: the parts of package mesh, their listeners and
// their life from start to drain.
//
// Lifecycle: Provision opens the listeners, Run serves until its context ends and then drains, Cleanup releases the
// rest. During the drain the process keeps answering callers for a while, because they leave only after they have
// noticed; its gate refuses new attempts at once, so that other hosts' entries go elsewhere.
package daemon
