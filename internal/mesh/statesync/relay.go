package statesync

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

const (
	// RosterPath is the path at which a host relays the roster to the hosts of its failure domain.
	RosterPath = "/.buckthornlatch/v1/roster"
	// sinceParameter is the query parameter with the revision up to which the requester knows the roster.
	sinceParameter = "since"
	// watchersPerDomain is the number of hosts of a failure domain that watch the roster in the store. The others poll one
	// of them, so that the calls to the store do not grow with the number of hosts. One is enough: the next one takes its
	// place within a poll or two, and a policy reaches those that poll as soon as the relay has it.
	watchersPerDomain = 1
	// haveParameter is the query parameter with the requester's policy version in hexadecimal. A relay holds a request that
	// has it until the relay's policy is newer, for at most relayInterval.
	haveParameter = "have"
	// relayInterval is the time between two polls of a relay that has no newer policy, newPolicyPause that after one that
	// has.
	relayInterval  = time.Second
	newPolicyPause = 250 * time.Millisecond
	// recruitedFor is how long a host watches the store after another one has polled it.
	recruitedFor = 4 * relayInterval
	// avoidRelayFor is how long a relay that failed is not polled.
	avoidRelayFor = 20 * time.Second
	// maxRelayAge is the age of a relay's roster from which it counts as failed.
	maxRelayAge = 6 * time.Second
	// maxRemoved bounds the deletions that are remembered for relaying.
	maxRemoved = 1024
)

// followRoster keeps the roster up to date until ctx ends, from the store or from a relay.
func (s *Syncer) followRoster(ctx context.Context) {
	w := &watch{
		watcher: watcher{
			part: rosterPart, prefix: s.config.Keys.HostPrefix, wait: func() time.Duration { return rosterWatchWait },
			coalesceDelay: s.rosterCoalesceDelay, apply: s.applyRoster,
		},
		backoff: initialBackoff,
	}
	for ctx.Err() == nil {
		host, relayed := s.relays.pick(time.Now(), s.View())
		if !relayed || !w.scanned {
			s.step(ctx, w)
			continue
		}
		asked := time.Now()
		through, err := s.pollRelay(ctx, host, w.since)
		if err != nil {
			if ctx.Err() == nil {
				s.relays.failed(time.Now(), host)
				s.config.Log.Info().Str("peer", string(host)).Err(err).Msg("sync: relay of the roster not usable")
			}
			continue
		}
		w.since = max(w.since, through)
		clock.Sleep(ctx, s.relayPause(time.Since(asked)))
	}
}

// relayPause returns the pause after a poll of a relay that took some time.
func (s *Syncer) relayPause(took time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hintPending {
		return newPolicyPause
	}
	return relayInterval - took
}

// errOldRoster reports a relay whose roster was not confirmed lately.
var errOldRoster = fmt.Errorf("the relay's roster is older than %v", maxRelayAge)

// pollRelay takes over what has changed in the roster of a relay since a revision. It returns the revision up to which
// the roster is known then.
func (s *Syncer) pollRelay(ctx context.Context, host id.HostID, since platform.Revision) (platform.Revision, error) {
	asked := time.Now()
	got, err := s.peers.fetchRoster(ctx, host, since, s.Version(), s.mayHold())
	if err != nil {
		return 0, err
	}
	// The ages that the relay states are those at the end of the time for which it held the request.
	asked = asked.Add(time.Duration(got.HeldMS) * time.Millisecond)
	s.takeConfirmation(host, got, asked)
	age := time.Duration(got.AgeMS) * time.Millisecond
	// While this host cannot reach the store either, an old roster does not speak against the relay.
	if age > maxRelayAge && s.policyRecovered() == nil {
		return 0, fault.New("poll relay", string(host), errOldRoster)
	}
	if got.Full || len(got.Rows) > 0 || len(got.Removed) > 0 {
		s.applyRelayed(got, since)
	}
	if age <= maxRelayAge {
		s.markReachable(rosterPart)
	}
	s.confirm(rosterPart, asked.Add(-age))
	return got.Through, nil
}

// applyRelayed merges a relayed roster. Rows that are not newer than the known ones change nothing.
func (s *Syncer) applyRelayed(got relayedRoster, since platform.Revision) {
	s.mu.Lock()
	s.rosterThrough = max(s.rosterThrough, got.Through)
	now := time.Now()
	listed := map[id.HostID]bool{}
	for _, host := range got.Present {
		listed[host] = true
	}
	for _, row := range got.Rows {
		listed[row.Record.Host] = true
		if row.Revision > s.records[row.Record.Host].revision && row.Record.Valid(now) {
			s.setRecord(row.Record.Host, storedRecord{record: row.Record, revision: row.Revision})
		}
	}
	if got.Full && got.Through >= since {
		for host, known := range s.records {
			if !listed[host] && known.revision <= got.Through {
				s.removeRecord(host, got.Through)
			}
		}
	}
	for _, host := range got.Removed {
		if !listed[host] && s.records[host].revision <= got.Through {
			s.removeRecord(host, got.Through)
		}
	}
	s.rebuildView()
	own, found := s.records[s.config.Self]
	republish := s.own.set && !s.own.remove && (!found || own.record != s.own.record)
	s.mu.Unlock()
	if republish {
		s.wakePublisher()
	}
	s.notify()
}

// setRecord sets the record of a host, which is not removed any more. The caller must hold s.mu.
func (s *Syncer) setRecord(host id.HostID, known storedRecord) {
	s.records[host] = known
	delete(s.removed, host)
}

// removeRecord removes the record of a host and remembers that for relaying. The caller must hold s.mu.
func (s *Syncer) removeRecord(host id.HostID, at platform.Revision) {
	delete(s.records, host)
	if len(s.removed) >= maxRemoved {
		clear(s.removed)
		s.relayFloor = at
	}
	s.removed[host] = at
}

// serveRoster serves RosterPath.
func (s *Syncer) serveRoster(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get(sinceParameter), 10, 64)
	if err != nil {
		http.Error(w, "malformed revision", http.StatusBadRequest)
		return
	}
	s.relays.polled(time.Now())
	held := s.holdForPolicy(r)
	s.mu.Lock()
	out := relayedRoster{
		Through: s.rosterThrough, AgeMS: s.age(rosterPart).Milliseconds(), PolicyAgeMS: s.age(policyPart).Milliseconds(),
		HeldMS: held.Milliseconds(),
	}
	if s.policy != nil {
		out.Policy = s.policy.Version()
	}
	out.Full = platform.Revision(since) < s.relayFloor
	for _, known := range s.records {
		if known.revision == 0 || known.record.Host == "" {
			continue
		}
		if out.Full {
			out.Present = append(out.Present, known.record.Host)
		}
		if known.revision > platform.Revision(since) {
			out.Rows = append(out.Rows, relayedRow{Record: known.record, Revision: known.revision})
		}
	}
	for host, at := range s.removed {
		if !out.Full && at > platform.Revision(since) {
			out.Removed = append(out.Removed, host)
		}
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored because the requester polls again.
	_ = json.NewEncoder(w).Encode(out)
}

// holdForPolicy waits until the policy is newer than the requester's, for at most relayInterval. It returns how long it
// has waited.
func (s *Syncer) holdForPolicy(r *http.Request) time.Duration {
	have, err := strconv.ParseUint(r.URL.Query().Get(haveParameter), 16, 64)
	if err != nil {
		// The requester does not ask for it.
		return 0
	}
	began := time.Now()
	timeout := time.NewTimer(relayInterval)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		newer, changed := s.policy != nil && s.policy.Version() > policy.Version(have), s.policyChanged
		s.mu.Unlock()
		if newer {
			return time.Since(began)
		}
		select {
		case <-changed:
		case <-timeout.C:
			return time.Since(began)
		case <-r.Context().Done():
			return time.Since(began)
		}
	}
}

// fetchRoster fetches what has changed in the roster of a host since a revision. If hold is set, the host answers once its
// policy is newer than have or some time has passed.
func (p *peerClient) fetchRoster(ctx context.Context, host id.HostID, since platform.Revision, have policy.Version, hold bool) (relayedRoster, error) {
	target := url.URL{Scheme: "http", Host: string(host), Path: RosterPath}
	query := url.Values{sinceParameter: {strconv.FormatUint(uint64(since), 10)}}
	if hold {
		query.Set(haveParameter, strconv.FormatUint(uint64(have), 16))
	}
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return relayedRoster{}, fault.New("poll relay", string(host), err)
	}
	response, err := p.relay.Do(request)
	if err != nil {
		return relayedRoster{}, fault.New("poll relay", string(host), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return relayedRoster{}, fault.New("poll relay", string(host), fmt.Errorf("status %d", response.StatusCode))
	}
	var got relayedRoster
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&got)
	return got, fault.New("decode relayed roster", string(host), err)
}
