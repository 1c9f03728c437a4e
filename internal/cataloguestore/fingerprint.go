package cataloguestore

import "crypto/sha256"

// Fingerprint is a hash of an operator's request. It distinguishes a request
// that is sent again from a different one under the same change id.
type Fingerprint [sha256.Size]byte
