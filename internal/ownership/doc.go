// Package ownership decides which process performs the duties of a host slot.
//
// Placement maps every duty to host slots by rendezvous hashing over the
// roster. State tracks the epochs, freshness, acknowledgements and delegations
// of one process and answers whether it may perform a duty now.
//
// A duty may be performed only while its holding is confirmed: within
// ConfirmationTerm, on the holder's clock, the process was fresh and knew
// neither a higher epoch of the slot nor a newer roster that moves the duty. A
// new holding waits until more than half of every roster that may still be in
// use acknowledged it, and then for Fence. Any two majorities of one roster
// intersect, so an earlier holder has either heard of the change or lost its
// confirmation when the fence ends.
//
// Failure behaviour: without acknowledgements or freshness a duty is not
// performed by anybody; it is never performed by two processes.
//
// The package does no I/O, starts no goroutine and reads no clock. State is not
// safe for concurrent use; Placement is.
package ownership
