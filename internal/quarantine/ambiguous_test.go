package quarantine_test

import (
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
)

// crashWith crashes a target while requests are in flight there.
func crashWith(q *quarantine.Quarantine, name string, now clock.Time, fingerprints ...string) {
	target := id.TargetID{Host: "h", Name: name}
	for _, f := range fingerprints {
		q.Started(f, target)
	}
	q.Crashed(target, now)
}

// TestAmbiguousCrashes guards against the quarantine of a frequent harmless request that was in flight
// with a poison request at both crashes. Both must instead run one at a time on the same target, where
// the third crash tells them apart.
func TestAmbiguousCrashes(t *testing.T) {
	q := quarantine.New(quarantine.Config{Host: "h", Incarnation: 1})
	now := clock.Time(time.Minute)
	crashWith(q, "a", now, "popular", poison)
	crashWith(q, "b", now, "popular", poison)
	for _, f := range []string{"popular", poison} {
		if verdict := q.Check(f, now); verdict != quarantine.Suspect {
			t.Errorf("%s is %v after two shared crashes", f, verdict)
		}
	}
	candidates := []id.TargetID{{Host: "h", Name: "a"}, {Host: "h", Name: "c"}, {Host: "h", Name: "d"}, {Host: "h", Name: "e"}}
	first, _ := q.IsolationTarget("popular", candidates, now)
	second, _ := q.IsolationTarget(poison, candidates, now)
	if first != second || first.Name == "a" {
		t.Errorf("the candidates run on %v and %v", first, second)
	}
	q.Started(poison, first)
	if q.MayStart("popular", now) {
		t.Error("two suspects may run at the same time")
	}
	q.Crashed(first, now)
	if verdict := q.Check(poison, now); verdict != quarantine.Quarantined {
		t.Errorf("the poison is %v after three crashes", verdict)
	}
	if verdict := q.Check("popular", now); verdict != quarantine.Clear {
		t.Errorf("the innocent request is %v although the poison explains its crashes", verdict)
	}
	if !q.CrashExplained(first, now) {
		t.Error("the target is blamed for the poison")
	}
	if verdict := q.Check(poison, now.Add(quarantine.Expiry)); verdict != quarantine.Clear {
		t.Errorf("the poison is %v after the expiry", verdict)
	}
}
