package ledger

// Kind is the kind of a Decision.
type Kind uint8

// The kinds of decisions; their numbers are part of the protocol between daemons. Only Run allows a dispatch; every other kind states
// that this send was not run.
const (
	// Run allows the request to be dispatched under Decision.Claim.
	Run Kind = iota + 1
	// Replay returns the recorded response.
	Replay
	// RanNotKept means that the request ran and its response is no longer stored; the status is.
	RanNotKept
	// InProgress means that an earlier send is running.
	InProgress
	// Unknown means that an earlier send may have run.
	Unknown
	// Expired means that the ticket can no longer run; an earlier send may have.
	Expired
	// Invalid means that the ticket is malformed, forged or another customer's.
	Invalid
	// KeyReused means that an earlier send had a different fingerprint.
	KeyReused
	// Forward means that the ledger named in Decision.At decides.
	Forward
	// Full means that the key has not run and cannot be claimed for lack of space.
	Full
	// HandedOver means that the records moved, or are moving, to Decision.At.Host (empty: not known yet).
	HandedOver
	// IssuerLost means that no daemon holds the records that decide.
	IssuerLost
	// StoreUnavailable means that the platform cannot record the claim.
	StoreUnavailable
	// Unreachable means that the daemon that holds the records does not answer now.
	Unreachable
)

// kindNames are used in logs.
var kindNames = [...]string{
	"none", "run", "replay", "ran-not-kept", "in-progress", "unknown", "expired", "invalid",
	"key-reused", "forward", "full", "handed-over", "issuer-lost", "store-unavailable", "unreachable",
}

// String returns the name used in logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid-kind"
}
