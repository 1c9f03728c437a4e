package membership

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Digest summarises a table in columns with one element per host, in the order of the host names.
type Digest struct {
	// Dictionary is the hash of the sorted host names. A receiver with the same dictionary needs no keys.
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

// Sender is part of every message. Its clock readings let the receiver bound the time in transit.
type Sender struct {
	Host        id.HostID
	Incarnation id.Incarnation
	// ClockMs is the sender's reading of its clock.Clock in whole milliseconds.
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
	// UnknownDictionary is set when the request must be sent again with keys; of the other fields
	// only Sender is set then.
	UnknownDictionary bool
	Digest            Digest
	Riders            []RiderState
	// Records are newer than those that the request's digest lists.
	Records []Update
	// Wanted lists the hosts whose records are newer at the requester.
	Wanted []Wanted
	// WantRiders is set when the requester's riders are not covered here, so that its heartbeats do
	// not count as covered yet.
	WantRiders bool
}

// Wanted requests the changes to a host's record.
type Wanted struct {
	// Key is the hash of the host name.
	Key uint32
	// Since is the sequence that the requesting side has; zero requests the whole record.
	Since uint64
}

// Push carries records and, if they were requested, the riders with the heartbeats that they cover.
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
	// StatusOnly is set when the record's content fields are left out because they are unchanged
	// since ContentSequence. Its targets carry only their summaries, in the order of the content's targets.
	StatusOnly bool
}
