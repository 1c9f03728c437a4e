// Package handover moves a slot's ticket records and duties from one daemon to
// another: from a leaving daemon to its delegate, and from the delegate to the
// slot's next incarnation.
//
// The sender first stops its duties and seals its records. It opens a session
// at the receiver, sends the records in chunks of bounded size and then sends
// Complete. The receiver becomes responsible when it handles Complete after it
// received everything; from then on the sender is never responsible again.
//
// Failure behaviour: before it sends Complete, the sender may give up and try
// another receiver, because an incomplete session never becomes active. After
// that it gives up only when the receiver reports that the session is aborted.
// Without such a report the sender stays sealed, so that no ticket can run at
// both: the records are used only at the receiver, if it has them. A handover
// takes at most Settings.HandoverTimeout.
//
// Sessions are kept in the memory of one process. A restarted receiver answers
// "unsure" for the sessions of its earlier process, because a copy that was
// completed there may have been handed over again.
package handover
