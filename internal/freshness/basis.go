package freshness

// Basis is the kind of evidence that makes a daemon fresh.
type Basis uint8

// The kinds of evidence.
const (
	// None means that there is no evidence.
	None Basis = iota
	// PlatformRead means that the platform was read, directly or through a peer.
	PlatformRead
	// Majority means that heartbeats from more than half of the roster were received.
	Majority
)

// String returns the basis' name.
func (b Basis) String() string {
	switch b {
	case PlatformRead:
		return "platform-read"
	case Majority:
		return "majority"
	}
	return "none"
}
