package statesync

import (
	"encoding/json"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// TestEvacuationRevisions guards against a set that is replaced by an older one: by a late answer, or by that of a peer that is
// behind.
func TestEvacuationRevisions(t *testing.T) {
	s := newTestSyncer("a:1")
	s.config.Keys.EvacuationPrefix = "op/evacuate/"
	row := func(domain string, revision platform.Revision, deleted bool) platform.Row {
		return platform.Row{Key: "op/evacuate/" + domain, Revision: revision, Deleted: deleted}
	}
	for i, step := range []struct {
		apply func()
		want  []id.FailureDomain
	}{
		{func() { s.applyPolicy([]platform.Row{row("north", 3, false)}, 5, true) }, []id.FailureDomain{"north"}},
		{func() { s.applyPolicy([]platform.Row{row("east", 7, false), row("north", 8, true)}, 8, false) }, []id.FailureDomain{"east"}},
		{func() { s.applyPolicy([]platform.Row{row("north", 6, false)}, 7, false) }, []id.FailureDomain{"east"}},
		{func() { s.applyPolicy(nil, 6, true) }, []id.FailureDomain{"east"}},
		{func() { s.adoptEvacuation(&evacuationState{Through: 7}, "b:1") }, []id.FailureDomain{"east"}},
		{func() {
			s.adoptEvacuation(&evacuationState{Through: 9, Domains: []id.FailureDomain{"west", "east"}}, "b:1")
		}, []id.FailureDomain{"east", "west"}},
		{func() { s.applyPolicy([]platform.Row{row("east", 10, true)}, 11, false) }, []id.FailureDomain{"west"}},
	} {
		step.apply()
		if got := s.View().EvacuatedDomains(); !slices.Equal(got, step.want) {
			t.Fatalf("step %d: evacuated are %v, want %v", i, got, step.want)
		}
	}
}

// TestEvacuationOfEarlierRelay guards against a host that counts its state as confirmed by a relay of the previous version,
// which does not tell which failure domains are evacuated.
func TestEvacuationOfEarlierRelay(t *testing.T) {
	s := newTestSyncer("a:1")
	s.config.Decode = func(raw []byte) (policy.Document, error) { return policy.Document{Version: 4, Raw: raw}, nil }
	s.setPolicy([]byte("4"), "store")
	s.applyPolicy(nil, 5, true)
	for _, told := range []bool{false, true} {
		got := relayedRoster{Policy: 4, PolicyThrough: 9}
		if told {
			got.Evacuation = &evacuationState{Through: 9}
			s.adoptEvacuation(got.Evacuation, "b:1")
		}
		s.takeConfirmation("b:1", got, time.Now())
		if confirmed := !s.confirmed[policyPart].IsZero(); confirmed != told {
			t.Fatalf("told %v, confirmed %v", told, confirmed)
		}
	}
}

// TestEvacuationEndsHeldPoll guards against a poll that the relay holds although it knows of an evacuation.
func TestEvacuationEndsHeldPoll(t *testing.T) {
	relay := newTestSyncer("a:1")
	relay.config.Keys.EvacuationPrefix = "op/evacuate/"
	relay.applyPolicy([]platform.Row{{Key: "op/evacuate/north", Revision: 3}}, 5, true)
	recorder := httptest.NewRecorder()
	began := time.Now()
	relay.ServeHTTP(recorder, httptest.NewRequest("GET", RosterPath+"?since=0&have=0&seen=0&evacuated=0&evacuated_through=4", nil))
	var got relayedRoster
	if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Evacuation == nil || !slices.Equal(got.Evacuation.Domains, []id.FailureDomain{"north"}) || time.Since(began) > time.Second {
		t.Fatalf("got %s after %v", recorder.Body, time.Since(began))
	}
}
