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

// MaxRecords limits the size of the set. It is well above the 42,000 keys of the
// largest planned fleet, and limits the memory that a faulty peer can consume.
const MaxRecords = 65536

// ErrFull is returned for a new record when the set already holds MaxRecords.
var ErrFull = errors.New("emergency revocation set is full")

// Set is a grow-only set of records. It is safe for concurrent use. The zero
// value is an empty set.
type Set struct {
	mu      sync.RWMutex
	records map[Record]struct{}
	keys    map[catalogue.KeyID]struct{}
	digest  Digest
}

// Contains reports whether a record in the set revokes the key.
func (s *Set) Contains(key catalogue.KeyID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.keys[key]
	return ok
}

// Add inserts one record. Its error wraps ErrFull or the record's validation error.
func (s *Set) Add(r Record) error {
	_, err := s.Merge([]Record{r})
	return err
}

// Merge inserts records and returns the number of new ones. It inserts the valid
// records even if others are rejected, and joins the errors of the rejected
// ones: ErrFull and validation errors.
func (s *Set) Merge(records []Record) (added int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.keys)
	var errs []error
	for _, r := range records {
		isNew, insertErr := s.insert(r)
		if insertErr != nil {
			errs = append(errs, insertErr)
		}
		if isNew {
			added++
		}
	}
	invariant.Check(len(s.keys) >= before, "revocations-only-grow", "%d keys after %d", len(s.keys), before)
	return added, errors.Join(errs...)
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
