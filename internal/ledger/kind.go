package ledger

// Kind is the kind of a Decision.
type Kind uint8

// The kinds of decisions; their numbers are part of the protocol between daemons. Only Run allows
// the request to be dispatched; every other kind means that this send did not run.
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
	// Expired means that the ticket can no longer run; an earlier send may have run.
	Expired
	// Invalid means that the ticket is malformed, forged or another customer's.
	Invalid
	// KeyReused means that an earlier send had a different fingerprint.
	KeyReused
	// Forward means that the ticket belongs to the ledger at Decision.At.
	Forward
	// Full means that the key has no claim and the claim limit is reached.
	Full
	// HandedOver means that the records were handed over to Decision.At.Host, or are being handed
	// over (empty: receiver not known yet).
	HandedOver
	// IssuerLost means that no known daemon holds the records of the ticket.
	IssuerLost
	// StoreUnavailable means that the platform cannot record the claim.
	StoreUnavailable
	// Unreachable means that a daemon that may hold the records does not respond or cannot decide now.
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
