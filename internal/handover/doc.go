// Package handover moves a slot's ticket records and duties from one daemon to
// another: from a leaving daemon to its delegate, and from the delegate to the
// slot's next incarnation.
//
// The sender stops its duties and seals its records first. It opens a session
// at the receiver, sends the records in chunks of bounded size and asks the
// receiver to complete. The receiver is responsible from the moment at which
// it handles Complete with everything received; the sender never again.
//
// Failure behaviour: before it sends Complete, the sender may give up and try
// another receiver, because an incomplete session never becomes active. After
// that it gives up only when the receiver says that the session is aborted. If
// the receiver does not say, neither side runs anything that the other might:
// the sender stays sealed, and the records answer only at the receiver, if it
// has them. A handover takes at most Settings.Total.
//
// Sessions live in the memory of one process. A receiver that restarted answers
// that it is unsure about the sessions of its earlier process, because a copy
// that had been completed there may have been handed on.
package handover
