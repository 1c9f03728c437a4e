// Package ownership decides which process performs the duties of a host slot.
//
// Placement maps every duty to host slots by rendezvous hashing over the
// roster. State tracks the epochs, freshness, acknowledgements and delegations
// of one process and decides whether it may perform a duty now.
//
// A duty may be performed only while its holding is confirmed: within
// the last ConfirmationTerm, on the holder's clock, the process was fresh and had
// learned neither a higher epoch of the slot nor a newer roster that moves the
// duty. A new holding waits until more than half of every roster that may still
// be in use acknowledged it, and then for FenceDuration. Any two majorities of one roster
// intersect, so by the end of the fence an earlier holder has either learned of
// the change or lost its confirmation.
//
// Failure behaviour: without acknowledgements or freshness no process performs
// a duty; two processes never perform it at once.
//
// The package does no I/O, starts no goroutine and reads no clock. State is not
// safe for concurrent use; Placement is.
package ownership
