package statesync

import (
	"context"
	"encoding/json"
	"errors"
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
	// haveParameter is the query parameter with the requester's policy version in hexadecimal, seenParameter that with the number
	// of the relay's confirmations of the policy that it knows. A relay holds a request that has both until it has news.
	haveParameter = "have"
	seenParameter = "seen"
	// minPollPause is the least time between two polls.
	minPollPause = 100 * time.Millisecond
	// maxRelayedPolicy bounds the bytes of one policy that a relay sends to the hosts that poll it. They take 40 ms on a link of
	// 10 Mbit/s. Further hosts read the policy in the store: each has a link of its own.
	maxRelayedPolicy = 48 << 10
	// recruitedFor is how long a host watches the store after another one has polled it.
	recruitedFor = 4 * time.Second
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
			part: rosterPart, prefix: s.config.Keys.HostPrefix, wait: rosterWatchWait,
			coalesceDelay: s.rosterCoalesceDelay, apply: s.applyRoster,
		},
		backoff: backoff{longest: maxBackoff},
	}
	var seen confirmationsSeen
	for ctx.Err() == nil {
		host, relayed := s.relays.pick(time.Now(), s.View())
		if !relayed || !w.scanned {
			s.step(ctx, w)
			continue
		}
		asked := time.Now()
		polling, cancel := context.WithCancelCause(ctx)
		go s.endWhenRecruited(polling, cancel)
		through, err := s.pollRelay(polling, host, w.since, &seen)
		recruited := errors.Is(context.Cause(polling), errRecruited)
		cancel(nil)
		if err != nil {
			if ctx.Err() == nil && !recruited {
				s.relays.failed(time.Now(), host)
				s.config.Log.Info().Str("peer", string(host)).Err(err).Msg("sync: relay of the roster not usable")
			}
			continue
		}
		w.since = max(w.since, through)
		clock.Sleep(ctx, minPollPause-time.Since(asked))
	}
}

// errRecruited ends a poll of a relay because other hosts poll this one, which is to watch the store now.
var errRecruited = errors.New("other hosts poll this one")

// endWhenRecruited ends a poll of a relay when other hosts begin to poll this one: its relay may have failed for them, too.
func (s *Syncer) endWhenRecruited(ctx context.Context, end context.CancelCauseFunc) {
	select {
	case <-s.relays.recruited:
		end(errRecruited)
	case <-ctx.Done():
	}
}

// confirmationsSeen is the number of confirmations that a relay has told of.
type confirmationsSeen struct {
	relay  id.HostID
	number uint64
}

var (
	// errOldRoster reports a relay whose roster was not confirmed lately.
	errOldRoster = fmt.Errorf("the relay's roster is older than %v", maxRelayAge)
	// errEarlierEra reports a relay that does not know yet that the store was restored from a copy.
	errEarlierEra = errors.New("the relay's roster is from before the store was restored")
	// errOldPolicy reports a relay whose policy was not confirmed lately.
	errOldPolicy = errors.New("the relay's policy was not confirmed lately")
)

// pollRelay takes over what has changed in the roster of a relay since a revision. It returns the revision up to which
// the roster is known then.
func (s *Syncer) pollRelay(ctx context.Context, host id.HostID, since platform.Revision, seen *confirmationsSeen) (platform.Revision, error) {
	asked := time.Now()
	if seen.relay != host {
		*seen = confirmationsSeen{relay: host}
	}
	got, err := s.peers.fetchRoster(ctx, host, rosterPoll{
		since: since, have: s.newestKnown(), seen: seen.number, timeout: s.share(pollShare), evacuation: s.knownEvacuation(),
	})
	if err != nil {
		return 0, err
	}
	if got.Through.Era() < since.Era() {
		return 0, fault.New("poll relay", string(host), errEarlierEra)
	}
	seen.number = got.Confirmations
	// The ages that the relay states are those at the end of the time for which it held the request.
	asked = asked.Add(min(ageOf(got.HeldMS), time.Since(asked)))
	s.adoptEvacuation(got.Evacuation, string(host))
	s.takeConfirmation(host, got, asked)
	age := ageOf(got.AgeMS)
	// While this host cannot reach the store either, an old roster or policy does not speak against the relay.
	if s.policyRecovered() == nil {
		if age > maxRelayAge {
			return 0, fault.New("poll relay", string(host), errOldRoster)
		}
		if ageOf(got.PolicyAgeMS) > s.share(staleShare) {
			return 0, fault.New("poll relay", string(host), errOldPolicy)
		}
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

// newestKnown returns the newest version of the policy that this host has or has been told of, so that a relay tells of each
// version once: a policy that this host cannot read must not end each poll at once.
func (s *Syncer) newestKnown() policy.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.policy == nil {
		return s.newestSeen
	}
	return max(s.policy.Version(), s.newestSeen)
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
	pass := s.takeOver(false)
	s.mu.Unlock()
	pass()
	s.notify()
}

// setRecord sets the record of a host, which is not removed any more. The caller must hold s.mu.
func (s *Syncer) setRecord(host id.HostID, known storedRecord) {
	if before, found := s.records[host]; found && before.revision == known.revision {
		known.since = before.since
	} else {
		known.since = time.Now()
	}
	s.records[host] = known
	s.rowsThrough = max(s.rowsThrough, known.revision)
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
	s.rowsThrough = max(s.rowsThrough, at)
}

// serveRoster serves RosterPath.
func (s *Syncer) serveRoster(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get(sinceParameter), 10, 64)
	if err != nil {
		http.Error(w, "malformed revision", http.StatusBadRequest)
		return
	}
	s.relays.polled(time.Now())
	held := s.holdForNews(r, platform.Revision(since))
	packed := s.packForRequester(r)
	s.mu.Lock()
	out := relayedRoster{
		Through: s.rosterThrough, AgeMS: s.age(rosterPart).Milliseconds(), PolicyAgeMS: s.age(policyPart).Milliseconds(),
		HeldMS: held.Milliseconds(), Confirmations: s.confirmations, PolicyThrough: s.policyThrough,
		AnswerMS: s.answerTime.Milliseconds(), Evacuation: s.evacuation.state(),
	}
	if s.policy != nil {
		out.Policy = s.policy.Version()
		if s.relayedPolicy+len(packed) <= maxRelayedPolicy {
			s.relayedPolicy += len(packed)
			out.Packed = packed
		}
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

// packForRequester returns the policy for a host that polls this one and has an older one, nil for others.
func (s *Syncer) packForRequester(r *http.Request) []byte {
	have, err := strconv.ParseUint(r.URL.Query().Get(haveParameter), 16, 64)
	s.mu.Lock()
	packed := s.packed
	s.mu.Unlock()
	if err != nil || packed.snapshot == nil || packed.snapshot.Version() <= policy.Version(have) {
		return nil
	}
	return packed.pack()
}

// holdForNews waits until this host has a newer policy or set of evacuated failure domains, another confirmation of it or later rows of the roster than the
// requester, for at most heldShare. While its roster is too old, which it is right after other hosts have begun to poll it, only a
// policy is news. It returns how long it has waited.
func (s *Syncer) holdForNews(r *http.Request, since platform.Revision) time.Duration {
	query := r.URL.Query()
	have, err := strconv.ParseUint(query.Get(haveParameter), 16, 64)
	seen, seenErr := strconv.ParseUint(query.Get(seenParameter), 16, 64)
	if err != nil || seenErr != nil {
		// The requester does not ask for it.
		return 0
	}
	known, tellsEvacuation := parseEvacuation(query)
	began := time.Now()
	timeout := time.NewTimer(s.share(heldShare))
	defer timeout.Stop()
	for {
		s.mu.Lock()
		newerPolicy := s.policy != nil && s.policy.Version() > policy.Version(have)
		otherNews := s.confirmations != seen || min(s.rowsThrough, s.rosterThrough) > since
		newerEvacuation := tellsEvacuation && s.evacuation.isNewsFor(known)
		hasNews := newerPolicy || newerEvacuation || (otherNews && s.age(rosterPart) <= maxRelayAge)
		news := s.news
		s.mu.Unlock()
		if hasNews {
			return time.Since(began)
		}
		select {
		case <-news:
		case <-timeout.C:
			return time.Since(began)
		case <-r.Context().Done():
			return time.Since(began)
		}
	}
}

// rosterPoll is a poll of a relay: what the requester knows, and how long it waits.
type rosterPoll struct {
	since   platform.Revision
	have    policy.Version
	seen    uint64
	timeout time.Duration
	// evacuation is what the requester knows of evacuated failure domains.
	evacuation evacuation
}

// fetchRoster polls a relay. The relay answers once it has news or some time has passed.
func (p *peerClient) fetchRoster(ctx context.Context, host id.HostID, poll rosterPoll) (relayedRoster, error) {
	ctx, cancel := context.WithTimeout(ctx, poll.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: string(host), Path: RosterPath}
	query := url.Values{
		sinceParameter: {strconv.FormatUint(uint64(poll.since), 10)}, haveParameter: {strconv.FormatUint(uint64(poll.have), 16)},
		seenParameter: {strconv.FormatUint(poll.seen, 16)},
	}
	poll.evacuation.addTo(query)
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
