package statesync

import (
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

const (
	// evacuatedParameter is the query parameter with a hash of the requester's set of evacuated failure domains, in hexadecimal;
	// evacuatedThroughParameter is that with the revision of the set.
	evacuatedParameter        = "evacuated"
	evacuatedThroughParameter = "evacuated_through"
)

// evacuation is the set of evacuated failure domains that the store held at a revision. It is immutable.
type evacuation struct {
	// domains are in order and without duplicates.
	domains []id.FailureDomain
	through platform.Revision
	// known is set once the set was read, from the store or from another host.
	known bool
}

// evacuationState is an evacuation in a message between hosts.
type evacuationState struct {
	Domains []id.FailureDomain `json:"domains,omitempty"`
	Through platform.Revision  `json:"through"`
}

// state returns the form for messages, nil if the set is not known.
func (e evacuation) state() *evacuationState {
	if !e.known {
		return nil
	}
	return &evacuationState{Domains: e.domains, Through: e.through}
}

// hash identifies the set of domains.
func (e evacuation) hash() uint64 {
	digest := xxhash.New()
	for _, domain := range e.domains {
		// Writing to a digest cannot fail.
		_, _ = digest.WriteString(string(domain) + "\n")
	}
	return digest.Sum64()
}

// addTo adds the parameters that tell a relay what the requester knows.
func (e evacuation) addTo(query url.Values) {
	if e.known {
		query.Set(evacuatedParameter, strconv.FormatUint(e.hash(), 16))
		query.Set(evacuatedThroughParameter, strconv.FormatUint(uint64(e.through), 10))
	}
}

// requesterEvacuation is what a requester knows of evacuated failure domains.
type requesterEvacuation struct {
	hash    uint64
	through platform.Revision
}

// parseEvacuation reads the parameters of a poll. It returns false if the requester does not know the set yet or is of an earlier
// version, which does not wait for it.
func parseEvacuation(query url.Values) (requesterEvacuation, bool) {
	hash, err := strconv.ParseUint(query.Get(evacuatedParameter), 16, 64)
	through, throughErr := strconv.ParseUint(query.Get(evacuatedThroughParameter), 10, 64)
	return requesterEvacuation{hash: hash, through: platform.Revision(through)}, err == nil && throughErr == nil
}

// isNewsFor reports whether a requester would adopt the set and does not know it.
func (e evacuation) isNewsFor(r requesterEvacuation) bool {
	return e.known && e.through >= r.through && e.hash() != r.hash
}

// after returns the set after the changes of some rows. Rows up to the revision of the set are part of it already. A row without
// a revision is taken to be as new as the answer that holds it.
func (e evacuation) after(rows []platform.Row, prefix string, through platform.Revision) evacuation {
	domains := slices.Clone(e.domains)
	for _, row := range rows {
		name, matches := strings.CutPrefix(row.Key, prefix)
		if !matches || name == "" || (row.Revision > 0 && row.Revision <= e.through) {
			continue
		}
		domain := id.FailureDomain(name)
		at, listed := slices.BinarySearch(domains, domain)
		switch {
		case row.Exists() && !listed:
			domains = slices.Insert(domains, at, domain)
		case !row.Exists() && listed:
			domains = slices.Delete(domains, at, at+1)
		}
	}
	return evacuation{domains: domains, through: max(through, e.through), known: true}
}

// applyEvacuation applies rows of the operator, which are changes since a revision that the set includes, or all rows.
func (s *Syncer) applyEvacuation(rows []platform.Row, through platform.Revision, complete bool) {
	if s.config.Keys.EvacuationPrefix == "" {
		// Every key would match.
		rows = nil
	}
	s.changeEvacuation("store", func(known evacuation) evacuation {
		if !complete {
			return known.after(rows, s.config.Keys.EvacuationPrefix, through)
		}
		return evacuation{}.after(rows, s.config.Keys.EvacuationPrefix, through)
	})
}

// adoptEvacuation takes over the set of another host if it is not older than the known one.
func (s *Syncer) adoptEvacuation(got *evacuationState, source string) {
	if got == nil {
		return
	}
	domains := slices.Clone(got.Domains)
	slices.Sort(domains)
	s.changeEvacuation(source, func(evacuation) evacuation {
		return evacuation{domains: slices.Compact(domains), through: got.Through, known: true}
	})
}

// changeEvacuation replaces the set of evacuated failure domains unless the new one is older.
func (s *Syncer) changeEvacuation(source string, change func(known evacuation) evacuation) {
	s.mu.Lock()
	before := s.evacuation
	next := change(before)
	if before.known && next.through < before.through {
		s.mu.Unlock()
		return
	}
	s.evacuation = next
	changed := !before.known || !slices.Equal(before.domains, next.domains)
	if changed {
		s.rebuildView()
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	if len(before.domains) > 0 || len(next.domains) > 0 {
		s.config.Log.Warn().Interface("domains", next.domains).Interface("before", before.domains).
			Uint64("revision", uint64(next.through)).Str("source", source).Msg("sync: evacuated failure domains changed")
	}
	s.notify()
}

// knownEvacuation returns the set of evacuated failure domains.
func (s *Syncer) knownEvacuation() evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuation
}

// assumeNoEvacuation lets a process begin to work that could learn the set neither from the store nor from the peers that it has
// just asked. What it learns later still applies.
func (s *Syncer) assumeNoEvacuation() {
	s.mu.Lock()
	if s.evacuation.known || s.evacuationAssumed || !s.policyCallFailed {
		s.mu.Unlock()
		return
	}
	s.evacuationAssumed = true
	s.rebuildView()
	s.mu.Unlock()
	s.config.Log.Warn().Msg("sync: neither the store nor a peer tells which failure domains are evacuated; assuming that none is")
	s.notify()
}
