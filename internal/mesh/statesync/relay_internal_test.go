package statesync

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// newTestSyncer returns a syncer that is not running.
func newTestSyncer(self string) *Syncer {
	return New(Config{
		Self: id.HostID(self), Keys: Keys{HostPrefix: "hosts/"}, OnChange: func(*policy.Snapshot, *roster.View) {},
		OnRestored: func(roster.Record) {}, Log: zerolog.Nop(), Metrics: noMetrics{},
		PolicyBound: func() time.Duration { return 2 * time.Second },
	})
}

// row returns the row of a host.
func row(revision platform.Revision, slots string) platform.Row {
	return platform.Row{Key: "hosts/x:1", Revision: revision, Value: []byte(`{"host":"x:1","service":"walks","state":"serving","slots":` + slots + `}`)}
}

// TestRelayDeletedAndWrittenAgain guards against a host that left and came back between two polls, and that the others
// remove until its record changes again.
func TestRelayDeletedAndWrittenAgain(t *testing.T) {
	relay, follower := newTestSyncer("a:1"), newTestSyncer("b:1")
	relay.applyRoster([]platform.Row{row(2, "5")}, 2, true)
	follower.applyRoster([]platform.Row{row(2, "5")}, 2, true)
	relay.applyRoster([]platform.Row{{Key: "hosts/x:1", Revision: 3, Deleted: true}}, 3, false)
	relay.applyRoster([]platform.Row{row(4, "6")}, 4, false)
	recorder := httptest.NewRecorder()
	relay.ServeHTTP(recorder, httptest.NewRequest("GET", RosterPath+"?since=2", nil))
	var got relayedRoster
	if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	follower.applyRelayed(got, 2)
	if r, known := follower.View().Find("x:1"); !known || r.Slots != 6 {
		t.Fatalf("the follower knows %+v after %s", r, recorder.Body)
	}
}

// TestRelayForgottenDeletions guards against a deletion that a requester does not get because the relay no longer
// remembers it, and against records that are sent although the requester knows them: after a start of 300 hosts a relay
// sent each of them the whole roster.
func TestRelayForgottenDeletions(t *testing.T) {
	kept := platform.Row{Key: "hosts/y:1", Revision: 1, Value: []byte(`{"host":"y:1","service":"walks","state":"serving","slots":5}`)}
	relay, follower := newTestSyncer("a:1"), newTestSyncer("b:1")
	follower.applyRoster([]platform.Row{kept, row(2, "5")}, 2, true)
	relay.applyRoster([]platform.Row{kept}, 9, true)
	recorder := httptest.NewRecorder()
	relay.ServeHTTP(recorder, httptest.NewRequest("GET", RosterPath+"?since=2", nil))
	var got relayedRoster
	if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	follower.applyRelayed(got, 2)
	if _, known := follower.View().Find("x:1"); known {
		t.Errorf("the follower keeps a deleted record after %s", recorder.Body)
	}
	if _, known := follower.View().Find("y:1"); !known || len(got.Rows) > 0 {
		t.Errorf("the follower knows %+v after %s", follower.View().Hosts(), recorder.Body)
	}
}
