package statesync

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// TestRelayThatMissedRestorationIsNotUsable guards against a host that follows a relay which does not know yet that the store was
// restored from a copy, and gets no change of the restored store from it.
func TestRelayThatMissedRestorationIsNotUsable(t *testing.T) {
	relay, follower := newTestSyncer("a:1"), newTestSyncer("b:1")
	before, restored := platform.RevisionOf(1, 9), platform.RevisionOf(2, 3)
	relay.applyRoster([]platform.Row{row(before, "5")}, before, true)
	follower.applyRoster([]platform.Row{row(restored, "6")}, restored, true)
	server := httptest.NewServer(relay)
	defer server.Close()
	host := id.HostID(strings.TrimPrefix(server.URL, "http://"))
	if _, err := follower.pollRelay(context.Background(), host, restored, &confirmationsSeen{}); !errors.Is(err, errEarlierEra) {
		t.Errorf("the poll ended with %v", err)
	}
	if _, err := follower.pollRelay(context.Background(), host, before, &confirmationsSeen{}); errors.Is(err, errEarlierEra) {
		t.Errorf("a relay of the same era is refused")
	}
}
