package membership

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Digest summarises a table, one column entry per host in the order of the host names.
type Digest struct {
	// Dictionary is the hash of the sorted host names. A receiver with the same names needs no keys.
	Dictionary uint64
	// Keys are the hashes of the host names; empty when the receiver knows the dictionary.
	Keys []uint32
	// Ages are the codes of the covered heartbeat ages.
	Ages []byte
	// Tags are one-byte hashes of the incarnations.
	Tags []byte
	// Sequences are the records' sequences.
	Sequences []uint64
}

// Sender is the part that every message has.
type Sender struct {
	Host        id.HostID
	Incarnation id.Incarnation
	// ClockMs is the sender's clock.Clock in whole milliseconds.
	ClockMs int64
	// ReceiverClockMs is a lower bound on the receiver's clock at the time of sending; -1 when unknown.
	ReceiverClockMs int64
	// ReceiverIncarnation is the process that ReceiverClockMs belongs to.
	ReceiverIncarnation id.Incarnation
	// PlatformReadAge is the age of the sender's newest confirmed platform read; negative when it has none.
	PlatformReadAge time.Duration
}

// Request starts an exchange.
type Request struct {
	Sender Sender
	Digest Digest
	Riders []RiderState
}

// Response answers a Request.
type Response struct {
	Sender Sender
	// UnknownDictionary asks for the same request with keys; the other fields but Sender are empty.
	UnknownDictionary bool
	Digest            Digest
	Riders            []RiderState
	// Records are newer than what the request's digest listed.
	Records []Update
	// Wanted are the hosts whose records are newer at the requester.
	Wanted []Wanted
	// WantRiders says that the requester's riders were not covered, so that its heartbeats do not count yet.
	WantRiders bool
}

// Wanted asks for what changed of a host's record.
type Wanted struct {
	// Key is the hash of the host name.
	Key uint32
	// Since is the sequence that the asking side has; zero asks for the whole record.
	Since uint64
}

// Push sends records, and on request the riders with the heartbeats that they cover.
type Push struct {
	Sender  Sender
	Records []Update
	// Digest and Riders are empty in a push of a single change.
	Digest Digest
	Riders []RiderState
}

// Update carries a record, or only its status when the receiver has the content.
type Update struct {
	Record *Record
	// StatusOnly says that the record's content fields are empty and unchanged since ContentSequence;
	// its targets carry their summaries only, in the order of the content's targets.
	StatusOnly bool
}
