package catalogue

import (
	"crypto/sha256"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// KeyHash is the SHA-256 hash of a caller's API key. The key itself is never stored.
type KeyHash [sha256.Size]byte

// KeyID is the public identifier of a key; it reveals nothing about the key.
type KeyID string

// Key describes an issued API key.
type Key struct {
	Meta
	ID       KeyID
	Customer id.CustomerID
	Hash     KeyHash
	// Revoked marks a key as invalid. Revoked keys stay in the catalogue, so that
	// an older copy cannot undo a revocation.
	Revoked bool
}
