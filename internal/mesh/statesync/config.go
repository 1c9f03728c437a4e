package statesync

import (
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

const (
	// WatchWait is the longest time that one watch lasts without a change. A silent connection is noticed sooner, by
	// the probes of the store's client.
	WatchWait = 20 * time.Second
	// returnWait is the wait of the first watch after a failure, which is short to learn soon that the store is back.
	returnWait = 50 * time.Millisecond
	// callTimeout bounds other calls. A slow store answers within a fraction of it.
	callTimeout = 2 * time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 2 * time.Second
	// firstPause and longestPause bound the time between two tries after a failure.
	firstPause   = 200 * time.Millisecond
	longestPause = time.Second
	// longestFollow bounds the time for which the roster is not tried because the policy cannot be read. It is many tries
	// for the policy, which may fail alone.
	longestFollow = 10 * time.Second
	// gatherPerHost, for each host of the roster, is the pause between two watches of the roster, in which changes gather:
	// with n hosts, n changes would otherwise cost n*n calls. In proportion to the hosts it bounds the calls of the whole
	// fleet to about 33 a second. A gate knows its own state, so that an older roster is harmless.
	gatherPerHost = 30 * time.Millisecond
	// leastGather and longestGather bound that pause. The longest one leaves a new target without requests from other
	// hosts for a few seconds, as long as it is slow after its start.
	leastGather   = time.Second
	longestGather = 4 * time.Second
	// scanLimit is the largest number of rows that the store returns at once.
	scanLimit = 500
)

// Config is what a Syncer needs.
type Config struct {
	Self  id.HostID
	Store platform.Feed
	Keys  Keys
	// Decode reads a policy as the operator wrote it.
	Decode func(raw []byte) (policy.Document, error)
	// Seeds are hosts to ask when neither the store nor the roster is known.
	Seeds func() []id.HostID
	// Changed is called after the policy or the view changed, one call at a time.
	Changed func(*policy.Snapshot, *roster.View)
	// Restored is called once with the record that an earlier process of this host wrote.
	Restored func(roster.Record)
	Log      zerolog.Logger
}

// Keys are the places in the store.
type Keys struct {
	// PolicyPrefix is the common prefix of the operator's rows, PolicyKey the row of the policy.
	PolicyPrefix string
	PolicyKey    string
	// HostPrefix is the common prefix of the hosts' records; the rest of a key is the host's name.
	HostPrefix string
}
