package id

import (
	"encoding/hex"
	"errors"
	"io"
)

// attemptIDBytes is the length of an attempt id in bytes.
const attemptIDBytes = 16

// ErrAttemptID is returned for a malformed attempt id.
var ErrAttemptID = errors.New("attempt id is not 32 hexadecimal digits")

// AttemptID identifies one attempt to run a request on a target.
type AttemptID [attemptIDBytes]byte

// NewAttemptID generates an id from random, usually crypto/rand.Reader.
func NewAttemptID(random io.Reader) (AttemptID, error) {
	var a AttemptID
	if _, err := io.ReadFull(random, a[:]); err != nil {
		return AttemptID{}, err
	}
	return a, nil
}

// ParseAttemptID decodes an id from 32 hexadecimal digits, as String returns it.
func ParseAttemptID(s string) (AttemptID, error) {
	var a AttemptID
	if hex.DecodedLen(len(s)) != attemptIDBytes {
		return AttemptID{}, ErrAttemptID
	}
	if _, err := hex.Decode(a[:], []byte(s)); err != nil {
		return AttemptID{}, ErrAttemptID
	}
	return a, nil
}

// String returns the id as 32 lower-case hexadecimal digits.
func (a AttemptID) String() string {
	return hex.EncodeToString(a[:])
}
