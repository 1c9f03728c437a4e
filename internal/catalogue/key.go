package catalogue

import (
	"crypto/sha256"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// KeyHash is the SHA-256 hash of a caller's key. The key itself is never kept.
type KeyHash [sha256.Size]byte

// KeyID is the public identifier of a key; it reveals nothing about the key.
type KeyID string

// Key describes an issued key.
type Key struct {
	Meta
	ID       KeyID
	Customer id.CustomerID
	Hash     KeyHash
	// Revoked keys stay in the catalogue so that a revocation cannot be undone by an older copy.
	Revoked bool
}
