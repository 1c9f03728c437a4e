package membership_test

import (
	"encoding/json"
	"errors"
	"slices"
	"time"
)

// growingSet is a grow-only set that travels as a rider.
type growingSet struct {
	members []int
	// refuse makes merges fail.
	refuse bool
}

func (s *growingSet) Name() string { return "set" }

func (s *growingSet) Summary() []byte { return s.encode() }

func (s *growingSet) Covers(summary []byte) bool {
	for _, m := range decodeSet(summary) {
		if !slices.Contains(s.members, m) {
			return false
		}
	}
	return true
}

func (s *growingSet) Delta([]byte) ([]byte, error) { return s.encode(), nil }

func (s *growingSet) Merge(delta []byte) error {
	if s.refuse {
		return errors.New("refused")
	}
	for _, m := range decodeSet(delta) {
		s.add(m)
	}
	return nil
}

func (s *growingSet) add(m int) {
	if !slices.Contains(s.members, m) {
		s.members = append(s.members, m)
		slices.Sort(s.members)
	}
}

func (s *growingSet) encode() []byte {
	b, _ := json.Marshal(s.members)
	return b
}

func decodeSet(b []byte) (members []int) {
	_ = json.Unmarshal(b, &members)
	return members
}

// holding says that a process held a member of the set from one real time to another.
type holding struct {
	member   int
	from, to time.Duration
}
