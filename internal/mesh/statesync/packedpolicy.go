package statesync

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// packedPolicy holds a policy in the compressed form in which relays send it.
type packedPolicy struct {
	snapshot *policy.Snapshot
	pack     func() []byte
}

// newPackedPolicy returns a policy that is compressed when it is first sent.
func newPackedPolicy(snapshot *policy.Snapshot) packedPolicy {
	return packedPolicy{snapshot: snapshot, pack: sync.OnceValue(func() []byte { return pack(snapshot.Raw()) })}
}

// pack compresses bytes.
func pack(raw []byte) []byte {
	var packed bytes.Buffer
	// Neither the level nor writing to a buffer can fail.
	w, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return packed.Bytes()
}

// unpack is the inverse of pack. It reads at most maxStateBytes.
func unpack(packed []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxStateBytes))
}
