package membership_test

import (
	"encoding/json"
	"errors"
	"slices"
	"time"
)

// growOnlySet is a grow-only set that implements Rider.
type growOnlySet struct {
	members []int
	// refuse makes Merge fail.
	refuse bool
}

func (s *growOnlySet) Name() string { return "set" }

func (s *growOnlySet) Summary() []byte { return s.encode() }

func (s *growOnlySet) Covers(summary []byte) bool {
	for _, m := range decodeSet(summary) {
		if !slices.Contains(s.members, m) {
			return false
		}
	}
	return true
}

func (s *growOnlySet) Delta([]byte) ([]byte, error) { return s.encode(), nil }

func (s *growOnlySet) Merge(delta []byte) error {
	if s.refuse {
		return errors.New("refused")
	}
	for _, m := range decodeSet(delta) {
		s.add(m)
	}
	return nil
}

func (s *growOnlySet) add(m int) {
	if !slices.Contains(s.members, m) {
		s.members = append(s.members, m)
		slices.Sort(s.members)
	}
}

func (s *growOnlySet) encode() []byte {
	b, _ := json.Marshal(s.members)
	return b
}

func decodeSet(b []byte) (members []int) {
	_ = json.Unmarshal(b, &members)
	return members
}

// heldInterval is an interval of simulated time in which a process held a member of the set.
type heldInterval struct {
	member   int
	from, to time.Duration
}
