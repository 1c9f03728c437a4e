package revocation_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/revocation"
)

// drawRecord draws one of a few records.
func drawRecord(t *rapid.T) revocation.Record {
	return revocation.Record{
		Key:      catalogue.KeyID(fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key"))),
		Operator: "op", ChangeID: catalogue.ChangeID(fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "change"))),
	}
}

// TestSetsConverge guards against replicas that differ after receiving the same
// records in a different order, against equal digests of different sets, and
// against a record that is lost after a duplicated, outdated or reordered message.
func TestSetsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := []*revocation.Set{{}, {}, {}}
		entered := map[revocation.Record]bool{}
		var messages [][]revocation.Record
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				r := drawRecord(t)
				if err := rapid.SampledFrom(sets).Draw(t, "set").Add(r); err != nil {
					t.Fatal(err)
				}
				entered[r] = true
			},
			"send": func(t *rapid.T) {
				messages = append(messages, rapid.SampledFrom(sets).Draw(t, "from").Records())
			},
			"deliver": func(t *rapid.T) {
				if len(messages) == 0 {
					t.Skip("no message")
				}
				to := rapid.SampledFrom(sets).Draw(t, "to")
				before := to.Records()
				if _, err := to.Merge(rapid.SampledFrom(messages).Draw(t, "message")); err != nil {
					t.Fatal(err)
				}
				for _, r := range before {
					if !to.Contains(r.Key) {
						t.Fatalf("%s is no longer revoked after a merge", r.Key)
					}
				}
			},
			"": func(t *rapid.T) {
				for _, s := range sets {
					same := slices.Equal(s.Records(), sets[0].Records())
					if same != (s.Digest() == sets[0].Digest()) {
						t.Fatal("digests and sets disagree")
					}
				}
			},
		})
		for range 2 {
			for _, s := range sets {
				for _, other := range sets {
					_, _ = s.Merge(other.Records())
				}
			}
		}
		for _, s := range sets {
			if len(s.Records()) != len(entered) {
				t.Fatalf("%d records, %d were entered", len(s.Records()), len(entered))
			}
		}
	})
}

// TestInForceNeedsMajority guards against a revocation that is reported as in
// force although half of the roster or more lacks it.
func TestInForceNeedsMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "hosts")
		sets := make([]*revocation.Set, n)
		var roster []id.HostID
		for i := range sets {
			sets[i] = &revocation.Set{}
			roster = append(roster, id.HostID(fmt.Sprintf("h%d", i)))
		}
		var propagation revocation.Propagation
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "host")
			if rapid.Bool().Draw(t, "add") {
				_ = sets[0].Add(drawRecord(t))
			} else if rapid.Bool().Draw(t, "merge") {
				_, _ = sets[i].Merge(sets[0].Records())
			}
			propagation.Observe(roster[i], sets[i].Digest(), sets[0].Digest())
			if !propagation.InForce(sets[0].Digest(), roster[0], roster) {
				continue
			}
			for _, r := range sets[0].Records() {
				holders := 0
				for _, s := range sets {
					if s.Contains(r.Key) {
						holders++
					}
				}
				if 2*holders <= n {
					t.Fatalf("%s is reported as in force but held by only %d of %d hosts", r.Key, holders, n)
				}
			}
		}
	})
}
