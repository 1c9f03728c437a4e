package statesync

import (
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/traffic"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

const (
	// WatchWait is the longest time that one watch of the policy lasts without a change.
	WatchWait = 20 * time.Second
	// rosterWatchWait is the longest time that one watch of the roster lasts without a change. Its answers confirm the
	// roster: its age reaches twice this wait and the pause between two watches, which stays below maxRelayAge.
	rosterWatchWait = 2 * time.Second
	// recoveryWatchWait replaces the wait of a watch after a failure until one succeeds. It is short, so that the store's
	// recovery is detected soon even if nothing has changed.
	recoveryWatchWait = 50 * time.Millisecond
	// callTimeout is the timeout of all other calls to the store. A slow store answers within a fraction of it.
	callTimeout = 2 * time.Second
	// watchSlack is added to the wait of a watch to get its timeout.
	watchSlack = time.Second
	// initialBackoff and maxBackoff are the first and the longest backoff after a failure.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxRosterDeferral bounds how long retries for the roster are held back because the policy cannot be read either.
	// The policy is retried many times within it. The bound is needed because reads of the policy may fail alone.
	maxRosterDeferral = 10 * time.Second
	// coalesceDelayPerHost times the number of hosts is the pause between two watches of the roster. Changes made in
	// the pause are returned by one call: without it, n changes would cost n*n calls with n hosts. Being proportional
	// to the number of hosts, it limits the whole fleet to about 33 calls a second, as long as maxCoalesceDelay does
	// not cut it short. A stale roster is harmless because each gate decides by its own current state.
	coalesceDelayPerHost = 30 * time.Millisecond
	// minCoalesceDelay and maxCoalesceDelay bound that pause. The maximum leaves a new target without requests from
	// other hosts for a few seconds, which is about as long as a target is slow after its start.
	minCoalesceDelay = time.Second
	maxCoalesceDelay = 4 * time.Second
	// scanLimit is the largest number of rows that the store returns in one page.
	scanLimit = 500
)

// Config configures a Syncer.
type Config struct {
	Self id.HostID
	// Domain is this host's failure domain. Peers of it are preferred, because bytes between failure domains cost more.
	Domain id.FailureDomain
	Store  platform.Feed
	Keys   Keys
	// PolicyBound returns the time within which a new policy or a change of the evacuated failure domains must be in force.
	PolicyBound func() time.Duration
	// Decode parses a policy in the operator's format.
	Decode func(raw []byte) (policy.Document, error)
	// Seeds returns the hosts to query when the store is unreachable and the roster lists no other host.
	Seeds func() []id.HostID
	// OnChange is called after the policy or the view may have changed, one call at a time.
	OnChange func(*policy.Snapshot, *roster.View)
	// OnRestored is called with each record of this host that another process wrote, normally an earlier one of the host: with what
	// the first full scan and later answers of the store hold, and before the first scan with what a peer knows. A record that is
	// published afterwards replaces it and must keep what it tells of targets that left.
	OnRestored func(roster.Record)
	// OnRecordRead is called after the first full scan of the store, and after OnRestored, with whether the store holds a record of
	// this host. It may be nil.
	OnRecordRead func(found bool)
	// Traffic counts the bytes exchanged with peers; nil counts nothing.
	Traffic *traffic.Meter
	Log     zerolog.Logger
	Metrics Metrics
}

// Metrics records what the syncer could not take over.
type Metrics interface {
	// PolicyRejected counts a policy that cannot be read at all.
	PolicyRejected()
	// PolicyWarnings sets the number of parts of the policy in force that were left out or replaced.
	PolicyWarnings(parts int)
	// RecordIgnored counts an invalid host record.
	RecordIgnored()
}

// Keys are the row keys of the shared state in the store.
type Keys struct {
	// PolicyPrefix is the common key prefix of the operator's rows; PolicyKey is the key of the policy's row.
	PolicyPrefix string
	PolicyKey    string
	// EvacuationPrefix is the common key prefix of the operator's rows that evacuate a failure domain; the rest of a key is the
	// domain's name. It begins with PolicyPrefix. Empty if there are no such rows.
	EvacuationPrefix string
	// HostPrefix is the common key prefix of the hosts' records; the rest of a key is the host's name.
	HostPrefix string
}
