package apikey

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

const (
	// Prefix begins every key, so that scanners can recognize a leaked one.
	Prefix = "blk_"
	// secretBytes is the number of random bytes in a key.
	secretBytes = 32
	// idBytes is the number of random bytes in a key's public id.
	idBytes = 10
	// idPrefix begins every public id.
	idPrefix = "key-"
)

// Issued is a new key. Its secret is not stored anywhere; it is shown to the operator once.
type Issued struct {
	// Secret is the key that the caller presents.
	Secret string
	// ID is independent of the secret.
	ID   catalogue.KeyID
	Hash catalogue.KeyHash
}

// String hides the secret from logs and errors.
func (i Issued) String() string {
	return string(i.ID)
}

// GoString hides the secret from logs and errors.
func (i Issued) GoString() string {
	return string(i.ID)
}

// Issue creates a key from random, usually crypto/rand.Reader.
func Issue(random io.Reader) (Issued, error) {
	var bytes [secretBytes + idBytes]byte
	if _, err := io.ReadFull(random, bytes[:]); err != nil {
		return Issued{}, err
	}
	secret := Prefix + base64.RawURLEncoding.EncodeToString(bytes[:secretBytes])
	keyID := idPrefix + hex.EncodeToString(bytes[secretBytes:])
	return Issued{Secret: secret, ID: catalogue.KeyID(keyID), Hash: Hash(secret)}, nil
}

// Hash returns the hash under which a key is stored.
func Hash(secret string) catalogue.KeyHash {
	return sha256.Sum256([]byte(secret))
}

// WellFormed reports whether a presented string has the form of a key.
func WellFormed(presented string) bool {
	rest, ok := strings.CutPrefix(presented, Prefix)
	if !ok || len(rest) != base64.RawURLEncoding.EncodedLen(secretBytes) {
		return false
	}
	return !strings.ContainsFunc(rest, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_')
	})
}
