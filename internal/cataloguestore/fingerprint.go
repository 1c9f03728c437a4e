package cataloguestore

import "crypto/sha256"

// Fingerprint is a hash of what an operator asked for. It tells a repeated
// request from another one under the same change id.
type Fingerprint [sha256.Size]byte
