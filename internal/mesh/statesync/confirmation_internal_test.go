package statesync

import (
	"context"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// slowFeed answers watches after a delay.
type slowFeed struct {
	platform.Feed
	delay time.Duration
}

// Watch implements platform.Feed.
func (f slowFeed) Watch(context.Context, string, platform.Revision, time.Duration) (platform.Rows, error) {
	time.Sleep(f.delay)
	return platform.Rows{}, nil
}

// ageOfPolicy returns the age of the policy.
func ageOfPolicy(s *Syncer) time.Duration {
	_, age := s.Policy()
	return age
}

// TestAnswerConfirmsAsOfItsQuestion guards against a change that falls between the answer of the store and its arrival and counts
// as known.
func TestAnswerConfirmsAsOfItsQuestion(t *testing.T) {
	s := newTestSyncer("a:1")
	s.config.Store = slowFeed{delay: 50 * time.Millisecond}
	if err := s.readPolicy(t.Context()); err != nil {
		t.Fatal(err)
	}
	if age := ageOfPolicy(s); age < 50*time.Millisecond || age > time.Minute {
		t.Fatalf("the policy counts as confirmed %v ago", age)
	}
}

// TestRelayConfirmsAsOfItsOwnConfirmation guards against a relay that is cut off from the store and keeps the policy of others in
// force.
func TestRelayConfirmsAsOfItsOwnConfirmation(t *testing.T) {
	s := newTestSyncer("a:1")
	snapshot, err := policy.Build(policy.Document{Version: 4})
	if err != nil {
		t.Fatal(err)
	}
	s.policy = snapshot
	for ms, want := range map[int64]time.Duration{1500: 1500 * time.Millisecond, 100: 100 * time.Millisecond, -1: 0, 1 << 62: maxStatedAge} {
		s.confirmed = map[part]time.Time{}
		s.takeConfirmation("b:1", relayedRoster{Policy: 4, PolicyAgeMS: ms}, time.Now())
		if age := ageOfPolicy(s); age < want {
			t.Errorf("an age of %d ms became %v", ms, age)
		}
	}
}
