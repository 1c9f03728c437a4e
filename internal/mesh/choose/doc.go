// Package choose picks the host at which an attempt is made.
//
// Each gate knows its own target; an entry knows only what earlier answers told it and what it has in flight itself.
// Its knowledge fades: a load that was told a while ago counts less and less towards the middle. Hosts of the own
// failure domain are preferred until they are clearly busier, because bytes between domains cost money and time. Hosts
// that are less than comfortably used count as alike, so that all targets of a lightly used service get work.
//
// A host whose connections fail or stay silent rests for a growing time. This is evidence about the path and is
// kept by the entry alone. A gate that refuses for the sake of its target rests for a short time.
//
// The package does no I/O and starts no goroutines. Chooser is not safe for concurrent use; Shared is.
package choose
