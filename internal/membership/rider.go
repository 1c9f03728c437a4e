package membership

// Rider is replicated state of another component that is piggybacked on every exchange. Its states
// must form a join semilattice: merging is idempotent and order does not matter. The methods are
// called while the table's lock is held and must not call the table.
type Rider interface {
	// Name identifies the rider on the wire; short and unique.
	Name() string
	// Summary describes the local state; equal states have equal summaries. At most a few bytes,
	// because it is sent with every exchange.
	Summary() []byte
	// Covers reports whether the local state includes everything in the summary's state.
	Covers(summary []byte) bool
	// Delta returns what the owner of the summary lacks; the whole state when it cannot tell.
	Delta(summary []byte) ([]byte, error)
	// Merge joins a delta into the local state. An error leaves the state unchanged or partly merged.
	Merge(delta []byte) error
}

// RiderState carries one rider's summary and, where the receiver lacks something, a delta.
type RiderState struct {
	Name    string
	Summary []byte
	Delta   []byte
}
