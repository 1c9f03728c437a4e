package slots_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// TestAdmissionModel drives an Admission at random and checks that it never exceeds its slots (by its own invariant),
// that each queued attempt gets exactly one turn, that none runs after the target has left, and that
// no attempt that may use a free slot stays in the queue when it is served.
func TestAdmissionModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := slots.New()
		var now clock.Time
		waiting, running := map[slots.ID]bool{}, map[slots.ID]bool{}
		open := false
		var last slots.ID
		applyTurns := func(turns []slots.Turn) {
			for _, turn := range turns {
				if !waiting[turn.ID] {
					t.Fatalf("attempt %d got a turn but is not queued", turn.ID)
				}
				delete(waiting, turn.ID)
				if turn.Run {
					if !open {
						t.Fatalf("attempt %d was started after the target had left", turn.ID)
					}
					running[turn.ID] = true
				}
			}
		}
		pick := func(from map[slots.ID]bool) (slots.ID, bool) {
			lowest := slots.ID(0)
			for attempt := range from {
				if lowest == 0 || attempt < lowest {
					lowest = attempt
				}
			}
			return lowest, lowest != 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"open": func(t *rapid.T) {
				open = true
				applyTurns(gate.Open(now, rapid.IntRange(1, 5).Draw(t, "slots")))
			},
			"close": func(*rapid.T) {
				open = false
				applyTurns(gate.Close())
			},
			"arrive": func(t *rapid.T) {
				last++
				decision := gate.Admit(now, slots.Demand{
					ID: last, Route: id.RouteID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route")),
					Customer: id.CustomerID(rapid.SampledFrom([]string{"c", "d"}).Draw(t, "customer")), Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Nested: rapid.Bool().Draw(t, "nested"),
					Idempotent: rapid.Bool().Draw(t, "idempotent"), Forced: rapid.Bool().Draw(t, "forced"),
					CustomerWork: time.Duration(rapid.IntRange(0, 5).Draw(t, "work")) * time.Second, Entry: "e",
					Remaining: 10 * time.Second, Objective: time.Second,
					MaxQueueWait: time.Duration(rapid.IntRange(0, 5000).Draw(t, "patience")) * time.Millisecond,
				})
				switch decision.Kind {
				case slots.Run:
					running[last] = true
				case slots.Wait:
					waiting[last] = true
				}
				if decision.HasDisplaced {
					if decision.Displaced == last {
						t.Fatalf("attempt %d displaces itself", last)
					}
					applyTurns([]slots.Turn{{ID: decision.Displaced, Reason: slots.Full}})
				}
				if decision.Kind != slots.Refuse && !open {
					t.Fatalf("attempt %d was admitted after the target had left", last)
				}
				if decision.HasReclaim && !running[decision.Reclaim] {
					t.Fatalf("attempt %d should be reclaimed but does not run", decision.Reclaim)
				}
			},
			"done": func(t *rapid.T) {
				if attempt, any := pick(running); any {
					delete(running, attempt)
					applyTurns(gate.Done(now, attempt, slots.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome"))))
				}
			},
			"recheck": func(*rapid.T) {
				applyTurns(gate.Recheck(now))
				if gate.QueuedFits(now) {
					t.Fatal("a queued attempt may use a free slot right after the queue was served")
				}
			},
			"abandon": func(t *rapid.T) {
				if attempt, any := pick(waiting); any {
					if !gate.Abandon(attempt) {
						t.Fatalf("attempt %d is queued but cannot be abandoned", attempt)
					}
					delete(waiting, attempt)
				}
			},
			"": func(t *rapid.T) {
				inUse, queued, _ := gate.Load()
				if inUse != len(running) || queued != len(waiting) {
					t.Fatalf("load is %d and %d, want %d and %d", inUse, queued, len(running), len(waiting))
				}
			},
		})
	})
}
