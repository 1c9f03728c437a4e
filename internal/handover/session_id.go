package handover

import "encoding/binary"

// nonceBytes is the length of a process's part of its session ids.
const nonceBytes = 16

// processNonce tells apart the sessions of different processes.
type processNonce [nonceBytes]byte

// sessionID returns the name of a process's session.
func sessionID(nonce processNonce, number uint64) []byte {
	return binary.BigEndian.AppendUint64(nonce[:], number)
}

// sessionNumber returns the number of a session of this process.
func sessionNumber(nonce processNonce, id []byte) (number uint64, ok bool) {
	if len(id) != nonceBytes+8 || processNonce(id[:nonceBytes]) != nonce {
		return 0, false
	}
	return binary.BigEndian.Uint64(id[nonceBytes:]), true
}
