package statesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// Syncer keeps the policy and the roster up to date. It is safe for concurrent use.
type Syncer struct {
	config Config
	peers  *peerClient
	// wake signals the publisher that the host's record changed or differs from the store's.
	wake chan struct{}
	// hint passes a host with a newer policy to pollPeers.
	hint chan id.HostID
	// askNow wakes confirmPolicy.
	askNow chan struct{}

	mu     sync.Mutex
	policy *policy.Snapshot
	// policyThrough is the revision up to which the policy is known. policyScanned is closed once the policy was scanned.
	policyThrough platform.Revision
	policyScanned chan struct{}
	scannedPolicy sync.Once
	// answerTime is how long the store took for its last answer about the policy, to this host or to its relay.
	answerTime time.Duration
	// newestSeen is the newest version of the policy that a relay has told of.
	newestSeen policy.Version
	// news is closed when the policy, its confirmation or the rows of the roster change, and then replaced.
	news chan struct{}
	// confirmations counts the confirmations of the policy. It begins at a random number, so that a relay does not take its
	// own count for that of its earlier process.
	confirmations uint64
	// packed is the policy in force as it is sent to hosts that poll this one.
	packed packedPolicy
	// relayedPolicy counts the bytes of the policy in force that were sent to hosts that poll this one.
	relayedPolicy int
	view          *roster.View
	records       map[id.HostID]storedRecord
	storeStatuses map[part]storeStatus
	own           ownRecord
	// passedOn is the revision of the latest record of this host that was passed to Config.OnRestored.
	passedOn   platform.Revision
	restored   bool
	evacuation evacuation
	// evacuationAssumed is set when the process has started without anyone who could tell which failure domains are
	// evacuated. policyCallFailed is set once a call to the store for the policy has failed.
	evacuationAssumed bool
	policyCallFailed  bool
	// rosterWhole is set once the roster was read whole, from the store or from a peer that has read it whole.
	rosterWhole bool
	relays      *relays
	// rosterThrough is the revision up to which the roster is known.
	rosterThrough platform.Revision
	// rowsThrough is the revision of the latest change of a row of the roster.
	rowsThrough platform.Revision
	// confirmed holds the latest time at which each part is known to have been the store's.
	confirmed map[part]time.Time
	// removed holds the revisions at which hosts were removed since relayFloor.
	removed    map[id.HostID]platform.Revision
	relayFloor platform.Revision
	// ignored holds the revision of the last invalid row of each host.
	ignored map[id.HostID]platform.Revision
	// hintPending is set while a newer policy that a peer uses is awaited from the store.
	hintPending bool

	// notifyMu serializes the calls of Config.OnChange.
	notifyMu sync.Mutex
}

// part is a part of the shared state that is read or written by separate calls, so that the store may be reachable for
// one part and not for another.
type part string

const (
	policyPart part = "policy"
	rosterPart part = "roster"
	ownPart    part = "own record"
)

// storeStatus tells whether, and since when, the store has been unreachable for a part.
type storeStatus struct {
	unreachable bool
	since       time.Time
	// recovered is closed when the store answers again; nil while it is reachable.
	recovered chan struct{}
}

// unreachableFromNow returns the status of an outage that begins now.
func unreachableFromNow() storeStatus {
	return storeStatus{unreachable: true, since: time.Now(), recovered: make(chan struct{})}
}

// storedRecord is a record with the revision of its row, which is zero if the host is known only from a peer.
type storedRecord struct {
	record   roster.Record
	revision platform.Revision
	// since is when this process first saw the revision.
	since time.Time
}

// New returns a syncer without policy and with an empty roster. Run starts it.
func New(config Config) *Syncer {
	return &Syncer{
		config: config, relays: newRelays(config.Self, config.Domain), removed: map[id.HostID]platform.Revision{},
		peers: newPeerClient(config.Traffic), wake: make(chan struct{}, 1), hint: make(chan id.HostID, 1),
		askNow: make(chan struct{}, 1), policyScanned: make(chan struct{}), news: make(chan struct{}),
		confirmed: map[part]time.Time{}, confirmations: rand.Uint64(),
		view: roster.NewPartialView(nil), records: map[id.HostID]storedRecord{}, ignored: map[id.HostID]platform.Revision{},
		storeStatuses: map[part]storeStatus{policyPart: unreachableFromNow(), rosterPart: unreachableFromNow()},
	}
}

// Run synchronizes the state until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){s.watchPolicy, s.confirmPolicy, s.followRoster, s.publish, s.pollPeers, s.removeDeparted} {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Policy returns the policy in force, nil if none is known, and how long ago the store has confirmed that there is no
// newer one.
func (s *Syncer) Policy() (*policy.Snapshot, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy, s.age(policyPart)
}

// outageDuration returns for how long the store has been unreachable for a part. The caller must hold s.mu.
func (s *Syncer) outageDuration(p part) time.Duration {
	c := s.storeStatuses[p]
	if !c.unreachable {
		return 0
	}
	return time.Since(c.since)
}

// View returns the current view of the roster.
func (s *Syncer) View() *roster.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Version returns the version of the policy in force; zero if none is known.
func (s *Syncer) Version() policy.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.policy == nil {
		return 0
	}
	return s.policy.Version()
}

// markReachable records that the store answered a call for a part.
func (s *Syncer) markReachable(p part) {
	s.mu.Lock()
	before := s.storeStatuses[p]
	s.storeStatuses[p] = storeStatus{}
	s.mu.Unlock()
	if before.unreachable {
		close(before.recovered)
		s.config.Log.Info().Str("part", string(p)).Dur("after", time.Since(before.since)).Msg("sync: store is reachable")
	}
}

// markUnreachable records that a call to the store failed for a part.
func (s *Syncer) markUnreachable(p part, err error) {
	s.mu.Lock()
	before := s.storeStatuses[p]
	s.policyCallFailed = s.policyCallFailed || p == policyPart
	if !before.unreachable {
		s.storeStatuses[p] = unreachableFromNow()
	}
	s.mu.Unlock()
	if !before.unreachable {
		s.config.Log.Warn().Str("part", string(p)).Err(err).Msg("sync: store is unreachable")
	}
}

// setPolicy puts a policy in force if it is valid and newer than the current one.
func (s *Syncer) setPolicy(raw []byte, source string) {
	snapshot, err := s.decodePolicy(raw)
	if err != nil {
		s.config.Metrics.PolicyRejected()
		s.config.Log.Error().Err(err).Str("source", source).Msg("sync: unreadable policy ignored; the last one stays in force")
		return
	}
	s.mu.Lock()
	if s.policy != nil && snapshot.Version() <= s.policy.Version() {
		s.mu.Unlock()
		return
	}
	invariant.Check(s.policy == nil || snapshot.Version() > s.policy.Version(), "policy-version-monotonic",
		"policy %d replaces a newer one", snapshot.Version())
	unconfirmed := s.age(policyPart)
	if s.policy == nil {
		unconfirmed = 0
	}
	s.policy, s.packed, s.relayedPolicy = snapshot, newPackedPolicy(snapshot), 0
	s.announceNews()
	s.mu.Unlock()
	s.logWarnings(snapshot)
	s.notify()
	relay, _ := s.relays.pick(time.Now(), s.View())
	s.config.Log.Info().Uint64("policy", uint64(snapshot.Version())).Str("source", source).Str("relay", string(relay)).
		Dur("unconfirmed", unconfirmed).Msg("sync: policy in force")
}

// announceNews wakes the polls that wait for news. The caller must hold s.mu.
func (s *Syncer) announceNews() {
	close(s.news)
	s.news = make(chan struct{})
}

// decodePolicy decodes and validates a policy.
func (s *Syncer) decodePolicy(raw []byte) (*policy.Snapshot, error) {
	document, err := s.config.Decode(raw)
	if err != nil {
		return nil, err
	}
	return policy.Build(document)
}

// maxLoggedWarnings bounds the log lines about the warnings of one policy.
const maxLoggedWarnings = 20

// logWarnings logs the parts of a new policy that are not in force as the operator wrote them.
func (s *Syncer) logWarnings(snapshot *policy.Snapshot) {
	warnings := snapshot.Warnings()
	s.config.Metrics.PolicyWarnings(len(warnings))
	for i, w := range warnings {
		if i == maxLoggedWarnings {
			s.config.Log.Warn().Uint64("policy", uint64(snapshot.Version())).Int("more", len(warnings)-i).Msg("sync: further parts of the policy not in force as written")
			return
		}
		s.config.Log.Warn().Uint64("policy", uint64(snapshot.Version())).Str("item", w.Item).Str("reason", w.Reason).
			Msg("sync: part of the policy not in force as written")
	}
}

// notify calls Config.OnChange with the current state.
func (s *Syncer) notify() {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	p, v := s.policy, s.view
	s.mu.Unlock()
	s.config.OnChange(p, v)
}
