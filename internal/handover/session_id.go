package handover

import "encoding/binary"

// nonceBytes is the length of the nonce at the start of a session id.
const nonceBytes = 16

// processNonce distinguishes the sessions of different receiver processes.
type processNonce [nonceBytes]byte

// sessionID returns the id of a session: the process's nonce and the session's number.
func sessionID(nonce processNonce, number uint64) []byte {
	return binary.BigEndian.AppendUint64(nonce[:], number)
}

// sessionNumber returns the number in a session id; ok is false when another process made the id.
func sessionNumber(nonce processNonce, id []byte) (number uint64, ok bool) {
	if len(id) != nonceBytes+8 || processNonce(id[:nonceBytes]) != nonce {
		return 0, false
	}
	return binary.BigEndian.Uint64(id[nonceBytes:]), true
}
