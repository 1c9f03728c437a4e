package revocation

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// MaxRecords bounds the set: well above the 42,000 keys of the largest fleet
// planned for, and a stop for a peer that sends nonsense.
const MaxRecords = 65536

// ErrFull reports that a set holds MaxRecords records.
var ErrFull = errors.New("emergency revocation set is full")

// Set is a grow-only set of records. It is safe for concurrent use. The zero
// value is an empty set.
type Set struct {
	mu      sync.RWMutex
	records map[Record]struct{}
	keys    map[catalogue.KeyID]struct{}
	digest  Digest
}

// Contains reports whether the key is revoked by a record.
func (s *Set) Contains(key catalogue.KeyID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.keys[key]
	return ok
}

// Add inserts one record. Errors: ErrFull, or the record's own fault.
func (s *Set) Add(r Record) error {
	_, err := s.Merge([]Record{r})
	return err
}

// Merge inserts records and returns the number of new ones. Valid records are
// inserted even when others are refused.
// Errors: ErrFull and the faults of refused records, joined.
func (s *Set) Merge(records []Record) (added int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.keys)
	var faults []error
	for _, r := range records {
		isNew, fault := s.insert(r)
		if fault != nil {
			faults = append(faults, fault)
		}
		if isNew {
			added++
		}
	}
	invariant.Check(len(s.keys) >= before, "revocations-only-grow", "%d keys after %d", len(s.keys), before)
	return added, errors.Join(faults...)
}

// insert adds one record and reports whether it was new. Callers hold mu.
func (s *Set) insert(r Record) (bool, error) {
	if err := r.Validate(); err != nil {
		return false, err
	}
	if _, known := s.records[r]; known {
		return false, nil
	}
	if len(s.records) >= MaxRecords {
		return false, ErrFull
	}
	if s.records == nil {
		s.records = map[Record]struct{}{}
		s.keys = map[catalogue.KeyID]struct{}{}
	}
	s.records[r] = struct{}{}
	s.keys[r.Key] = struct{}{}
	high, low := r.hash()
	s.digest.Count++
	s.digest.High ^= high
	s.digest.Low ^= low
	return true, nil
}

// Records returns all records, sorted.
func (s *Set) Records() []Record {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.SortedFunc(maps.Keys(s.records), func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Operator, b.Operator),
			cmp.Compare(a.ChangeID, b.ChangeID), cmp.Compare(a.Why, b.Why))
	})
}

// Digest returns the digest of the set.
func (s *Set) Digest() Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.digest
}
