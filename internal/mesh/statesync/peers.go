package statesync

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/traffic"
)

const (
	// StatePath is the path at which a host serves its policy and roster to its peers.
	StatePath = "/.buckthornlatch/v1/state"
	// versionParameter is the query parameter with the requester's policy version in hexadecimal.
	versionParameter = "policy"
	// recordsParameter is the query parameter that asks for the roster, too.
	recordsParameter = "records"
	// peerPollInterval is the time between two polls of peers while the store is unreachable. A few polls fit into the
	// time within which a new policy must be in force.
	peerPollInterval = 700 * time.Millisecond
	// otherDomainEvery is the number of polls of which one goes to any failure domain. The others stay in this host's own,
	// where bytes cost least, and ask for the roster, too.
	otherDomainEvery = 3
	// peerPollAfter is how long the store must be unreachable before peers are polled.
	peerPollAfter = 500 * time.Millisecond
	// hintDelay is how long to wait for the store to deliver a policy that a peer already uses before it is fetched
	// from that peer.
	hintDelay = 300 * time.Millisecond
	// firstPolicyPeers is the number of peers that a host without a policy asks at once, firstPolicyWait how long it waits
	// for all of them.
	firstPolicyPeers = 3
	firstPolicyWait  = 400 * time.Millisecond
	// peerTimeout is the timeout of one request to a peer.
	peerTimeout = time.Second
	// relayIdleTimeout is how long an idle connection to a relay is kept.
	relayIdleTimeout = 5 * time.Second
	// maxStateBytes bounds the size of a peer's response.
	maxStateBytes = 8 << 20
)

// stateResponse is the body of a response at StatePath.
type stateResponse struct {
	// Policy is the raw policy; empty if it is not newer than the requester's.
	Policy  []byte          `json:"policy,omitempty"`
	Records []roster.Record `json:"records,omitempty"`
	// Whole is set if Records are all that the store held when the peer read them.
	Whole bool `json:"whole,omitempty"`
	// Evacuation is what the peer knows of evacuated failure domains; nil if it does not know them or is of an earlier version.
	Evacuation *evacuationState `json:"evacuation,omitempty"`
}

// peerClient fetches state from peers.
type peerClient struct {
	client *http.Client
	// relay keeps its connection for the next poll of the same relay.
	relay *http.Client
}

// newPeerClient returns a client without keep-alive: requests are rare and usually go to a different host each time. Its
// connections are counted unless meter is nil.
func newPeerClient(meter *traffic.Meter) *peerClient {
	dial := meter.Dial(link.Dialer().DialContext, traffic.State)
	return &peerClient{
		client: &http.Client{
			Transport: hop.CheckedTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true}),
			Timeout:   peerTimeout,
		},
		relay: &http.Client{
			Transport: hop.CheckedTransport(&http.Transport{
				DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: relayIdleTimeout,
			}),
		},
	}
}

// fetchState fetches the policy of a host if it is newer than have, and its roster if records is set.
func (p *peerClient) fetchState(ctx context.Context, host id.HostID, have policy.Version, records bool) (stateResponse, error) {
	target := url.URL{Scheme: "http", Host: string(host), Path: StatePath}
	target.RawQuery = url.Values{
		versionParameter: {strconv.FormatUint(uint64(have), 16)}, recordsParameter: {strconv.FormatBool(records)},
	}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return stateResponse{}, fault.New("fetch state", string(host), err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return stateResponse{}, fault.New("fetch state", string(host), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return stateResponse{}, fault.New("fetch state", string(host), fmt.Errorf("status %d", response.StatusCode))
	}
	var got stateResponse
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&got)
	return got, fault.New("decode state", string(host), err)
}

// ServeHTTP serves StatePath and RosterPath.
func (s *Syncer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == RosterPath {
		s.serveRoster(w, r)
		return
	}
	have, err := strconv.ParseUint(r.URL.Query().Get(versionParameter), 16, 64)
	if err != nil {
		http.Error(w, "malformed policy version", http.StatusBadRequest)
		return
	}
	// A peer of an earlier version does not say whether it wants the roster, and gets it.
	records, err := strconv.ParseBool(r.URL.Query().Get(recordsParameter))
	s.mu.Lock()
	out := stateResponse{Evacuation: s.evacuation.state()}
	if records || err != nil {
		out.Records, out.Whole = s.view.Hosts(), s.view.Whole()
	}
	if s.policy != nil && s.policy.Version() > policy.Version(have) {
		out.Policy = s.policy.Raw()
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored because the requester polls again, usually another host.
	_ = json.NewEncoder(w).Encode(out)
}

// ObservePolicyVersion records that a host uses a version of the policy. If that version is newer and the store does
// not deliver it within hintDelay, it is fetched from the host.
func (s *Syncer) ObservePolicyVersion(host id.HostID, version policy.Version) {
	s.awaitPolicyVersion(host, version, hintDelay)
}

// awaitPolicyVersion fetches the policy of a host if its version is newer and the store does not deliver it in time.
func (s *Syncer) awaitPolicyVersion(host id.HostID, version policy.Version, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.behind(version) || s.hintPending {
		return
	}
	s.hintPending = true
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		s.hintPending = false
		behind := s.behind(version)
		s.mu.Unlock()
		if !behind {
			return
		}
		select {
		case s.hint <- host:
		default:
		}
	})
}

// behind reports whether the policy in force is missing or older than version. The caller must hold s.mu.
func (s *Syncer) behind(version policy.Version) bool {
	return version > 0 && (s.policy == nil || version > s.policy.Version())
}

// pollPeers polls random peers while the store is unreachable, and at any time the peers passed through s.hint, until
// ctx ends.
func (s *Syncer) pollPeers(ctx context.Context) {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	polls := 0
	for {
		select {
		case <-ctx.Done():
			return
		case host := <-s.hint:
			s.pullFromPeer(ctx, host, false)
		case <-ticker.C:
			if s.Version() == 0 || !s.View().EvacuationKnown() {
				s.pullFirst(ctx)
				s.assumeNoEvacuation()
				continue
			}
			polls++
			if host, records, ok := s.pickPeer(polls%otherDomainEvery == 0); ok {
				s.pullFromPeer(ctx, host, records)
			}
		}
	}
}

// pickPeer returns a random peer if the store is unreachable, and whether to ask it for the roster. It is one of this
// host's failure domain unless anyDomain is set or there is none. A peer of another domain is asked for the roster only
// if this host knows no peers, because the roster is long and seldom news.
func (s *Syncer) pickPeer(anyDomain bool) (host id.HostID, records, ok bool) {
	near, all := s.knownPeers()
	if len(near) > 0 && !anyDomain {
		return near[rand.IntN(len(near))], true, true
	}
	records = len(near) == 0
	if len(all) == 0 {
		return "", false, false
	}
	return all[rand.IntN(len(all))], records, true
}

// knownPeers returns the peers that may be asked while the store is unreachable, and those of them in this host's
// failure domain. There are none while the store is reachable. Without a roster the seeds are used.
func (s *Syncer) knownPeers() (near, all []id.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outageDuration(policyPart) < peerPollAfter && s.outageDuration(rosterPart) < peerPollAfter {
		return nil, nil
	}
	for _, r := range s.view.Hosts() {
		if r.Host == s.config.Self || r.State == roster.Gone {
			continue
		}
		all = append(all, r.Host)
		if r.Domain == s.config.Domain {
			near = append(near, r.Host)
		}
	}
	if len(all) == 0 {
		all = s.config.Seeds()
	}
	return near, all
}

// pullFirst puts the newest policy of several peers in force, for a host that has none. A single peer may lack the
// latest one, in which the operator has withdrawn a key that the earlier process of this host no longer accepted.
func (s *Syncer) pullFirst(ctx context.Context) {
	near, all := s.knownPeers()
	asked := make([]id.HostID, 0, firstPolicyPeers)
	for _, i := range rand.Perm(len(all))[:min(len(all), firstPolicyPeers)] {
		asked = append(asked, all[i])
	}
	responses := make([]stateResponse, len(asked))
	waiting, cancel := context.WithTimeout(ctx, firstPolicyWait)
	defer cancel()
	var group sync.WaitGroup
	for i, host := range asked {
		group.Go(func() {
			var err error
			records := len(near) == 0 || slices.Contains(near, host)
			if responses[i], err = s.peers.fetchState(waiting, host, 0, records); err != nil {
				s.config.Log.Debug().Err(err).Msg("sync: polling a peer failed")
			}
		})
	}
	group.Wait()
	newest, version := -1, policy.Version(0)
	for i, got := range responses {
		if len(got.Policy) == 0 {
			continue
		}
		if snapshot, err := s.decodePolicy(got.Policy); err == nil && snapshot.Version() > version {
			newest, version = i, snapshot.Version()
		}
	}
	if newest >= 0 {
		s.adopt(responses[newest], asked[newest])
	}
	for i, got := range responses {
		got.Policy = nil
		s.adopt(got, asked[i])
	}
}

// pullFromPeer fetches the state of a host and merges it into the local state.
func (s *Syncer) pullFromPeer(ctx context.Context, host id.HostID, records bool) {
	got, err := s.peers.fetchState(ctx, host, s.Version(), records)
	if err != nil {
		s.config.Log.Debug().Err(err).Msg("sync: polling a peer failed")
		return
	}
	s.adopt(got, host)
}

// adopt merges the state of a host into the local state.
func (s *Syncer) adopt(got stateResponse, host id.HostID) {
	if len(got.Policy) > 0 {
		s.setPolicy(got.Policy, string(host))
	}
	s.adoptEvacuation(got.Evacuation, string(host))
	if s.merge(got.Records, got.Whole) {
		s.notify()
	}
	s.restoreFromPeer(got.Records)
}

// restoreFromPeer passes on the record of this host that a peer knows, as long as the store could not be read since the
// start. Otherwise a host that restarts while the store is unreachable could use a target that has announced its
// leaving to the earlier process.
func (s *Syncer) restoreFromPeer(records []roster.Record) {
	s.mu.Lock()
	restored := s.restored
	s.mu.Unlock()
	for _, r := range records {
		if r.Host == s.config.Self && !restored && r.Valid(time.Now()) {
			s.config.OnRestored(r)
		}
	}
}

// merge adopts records of later target incarnations and of unknown hosts while the store is unreachable. It reports
// whether anything changed. The records are whole if the peer's are.
func (s *Syncer) merge(records []roster.Record, whole bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outageDuration(rosterPart) == 0 {
		return false
	}
	merged := whole && !s.rosterWhole
	s.rosterWhole = s.rosterWhole || whole
	for _, r := range records {
		known, found := s.records[r.Host]
		if r.Host == s.config.Self || !r.Valid(time.Now()) || (found && r.Target.StartedMS <= known.record.Target.StartedMS) {
			continue
		}
		s.records[r.Host] = storedRecord{record: r, revision: known.revision, since: time.Now()}
		merged = true
	}
	if merged {
		s.rebuildView()
	}
	return merged
}
