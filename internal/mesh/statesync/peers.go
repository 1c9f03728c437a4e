package statesync

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

const (
	// StatePath serves what this host knows to other hosts.
	StatePath = "/.buckthornlatch/v1/state"
	// versionParameter is the version of the policy that the asking host has.
	versionParameter = "policy"
	// peerPeriod is the time between two questions to other hosts while the store is out of reach. A few of them fit
	// into the time in which a policy must be in force.
	peerPeriod = 700 * time.Millisecond
	// peerAfter is how long the store must be out of reach before other hosts are asked.
	peerAfter = 500 * time.Millisecond
	// noticeDelay is the time that the store has to bring a policy that another host has already.
	noticeDelay = 300 * time.Millisecond
	// peerTimeout bounds one question.
	peerTimeout = time.Second
	// maxState bounds an answer, in bytes.
	maxState = 8 << 20
)

// state is what one host tells another.
type state struct {
	// Policy is the raw policy; empty when the asking host has it.
	Policy  []byte          `json:"policy,omitempty"`
	Records []roster.Record `json:"records"`
}

// peerSource asks other hosts.
type peerSource struct {
	client *http.Client
}

// newPeerSource returns a source without connections. Each question uses a new connection, since questions are rare
// and go to a different host each time.
func newPeerSource() *peerSource {
	dialer := link.Dialer()
	return &peerSource{client: &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		Timeout:   peerTimeout,
	}}
}

// ask returns what a host knows.
func (p *peerSource) ask(ctx context.Context, host id.HostID, have policy.Version) (state, error) {
	target := url.URL{Scheme: "http", Host: string(host), Path: StatePath}
	target.RawQuery = url.Values{versionParameter: {strconv.FormatUint(uint64(have), 16)}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return state{}, fault.New("ask for state", string(host), err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return state{}, fault.New("ask for state", string(host), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return state{}, fault.New("ask for state", string(host), fmt.Errorf("status %d", response.StatusCode))
	}
	var got state
	err = json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&got)
	return got, fault.New("read state", string(host), err)
}

// ServeHTTP serves StatePath.
func (s *Syncer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	have, err := strconv.ParseUint(r.URL.Query().Get(versionParameter), 16, 64)
	if err != nil {
		http.Error(w, "the version is malformed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	out := state{Records: s.view.Hosts()}
	if s.policy != nil && s.policy.Version() > policy.Version(have) {
		out.Policy = s.policy.Raw()
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// The asking host tries another one if this fails.
	_ = json.NewEncoder(w).Encode(out)
}

// Noticed tells that a host uses a version of the policy. A newer one that the store does not bring soon is fetched
// there: a store that turns this host away may leave a watch without an answer that looks like one without a change.
func (s *Syncer) Noticed(host id.HostID, version policy.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.behind(version) || s.noticed {
		return
	}
	s.noticed = true
	time.AfterFunc(noticeDelay, func() {
		s.mu.Lock()
		s.noticed = false
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

// behind reports whether a version is newer than the policy in force. The lock is held.
func (s *Syncer) behind(version policy.Version) bool {
	return version > 0 && (s.policy == nil || version > s.policy.Version())
}

// askPeers asks other hosts while the store is out of reach.
func (s *Syncer) askPeers(ctx context.Context) {
	ticker := time.NewTicker(peerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case host := <-s.hint:
			s.askPeer(ctx, host)
		case <-ticker.C:
			if host, ok := s.peerToAsk(); ok {
				s.askPeer(ctx, host)
			}
		}
	}
}

// peerToAsk returns a random other host if the store is out of reach.
func (s *Syncer) peerToAsk() (id.HostID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.age(policyPart) < peerAfter && s.age(rosterPart) < peerAfter {
		return "", false
	}
	var hosts []id.HostID
	for _, r := range s.view.Hosts() {
		if r.Host != s.config.Self && r.State != roster.Gone {
			hosts = append(hosts, r.Host)
		}
	}
	if len(hosts) == 0 {
		hosts = s.config.Seeds()
	}
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[rand.IntN(len(hosts))], true
}

// askPeer takes over what a host knows.
func (s *Syncer) askPeer(ctx context.Context, host id.HostID) {
	got, err := s.peers.ask(ctx, host, s.Version())
	if err != nil {
		s.config.Log.Debug().Err(err).Msg("sync: another host did not answer")
		return
	}
	if len(got.Policy) > 0 {
		s.setPolicy(got.Policy, string(host))
	}
	if s.merge(got.Records) {
		s.changed()
	}
}

// merge takes over records of later target incarnations and of unknown hosts while the store is out of reach.
func (s *Syncer) merge(records []roster.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.age(rosterPart) == 0 {
		return false
	}
	merged := false
	for _, r := range records {
		known, found := s.records[r.Host]
		if r.Host == s.config.Self || !r.Valid() || (found && r.Target.Born <= known.record.Target.Born) {
			continue
		}
		s.records[r.Host] = stored{record: r, revision: known.revision}
		merged = true
	}
	if merged {
		s.rebuild()
	}
	return merged
}
