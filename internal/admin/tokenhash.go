package admin

import "crypto/sha256"

// TokenHash is the SHA-256 hash of an operator's token.
type TokenHash [sha256.Size]byte
