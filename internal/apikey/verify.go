package apikey

import (
	"crypto/subtle"
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// Errors of Verify. Callers are told neither which one occurred nor the key's id.
var (
	ErrMalformed  = errors.New("key is malformed")
	ErrUnknown    = errors.New("key is unknown")
	ErrRevoked    = errors.New("key is revoked")
	ErrNoCustomer = errors.New("key belongs to no customer")
)

// Revocations is the set of keys revoked outside the catalogue, for example
// during a platform outage.
type Revocations interface {
	// Contains reports whether the key was revoked.
	Contains(key catalogue.KeyID) bool
}

// Verified is the result of a successful check. The entries must not be modified.
type Verified struct {
	Key      *catalogue.Key
	Customer *catalogue.Customer
}

// Verify checks a presented key against the snapshot and the emergency
// revocations, which may be nil.
// Errors: ErrMalformed, ErrUnknown, ErrRevoked, ErrNoCustomer.
func Verify(s *catalogue.Snapshot, revoked Revocations, presented string) (Verified, error) {
	if !WellFormed(presented) {
		return Verified{}, ErrMalformed
	}
	hash := Hash(presented)
	key := s.KeyByHash(&hash)
	if key == nil || subtle.ConstantTimeCompare(key.Hash[:], hash[:]) != 1 {
		return Verified{}, ErrUnknown
	}
	if IsRevoked(s, revoked, key.ID) {
		return Verified{}, ErrRevoked
	}
	customer := s.Customer(key.Customer)
	if customer == nil {
		return Verified{}, ErrNoCustomer
	}
	return Verified{Key: key, Customer: customer}, nil
}

// IsRevoked reports whether the key with the public id must not be used:
// revoked in the snapshot, revoked outside it, or not in the snapshot at all.
func IsRevoked(s *catalogue.Snapshot, revoked Revocations, key catalogue.KeyID) bool {
	entry := s.Key(key)
	if entry == nil || entry.Revoked {
		return true
	}
	return revoked != nil && revoked.Contains(key)
}
