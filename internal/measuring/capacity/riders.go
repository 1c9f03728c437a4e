package capacity

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// catalogueRider answers for the catalogue copy that all simulated hosts share.
type catalogueRider struct {
	replica *catalogsync.Replica
}

// Name implements membership.Rider.
func (c catalogueRider) Name() string { return "catalogue" }

// Summary implements membership.Rider.
func (c catalogueRider) Summary() []byte {
	return binary.AppendUvarint(nil, uint64(c.replica.Snapshot().Revision()))
}

// Covers implements membership.Rider. Every change starts at the shared copy.
func (c catalogueRider) Covers([]byte) bool { return true }

// Delta implements membership.Rider.
func (c catalogueRider) Delta(summary []byte) ([]byte, error) {
	revision, _ := binary.Uvarint(summary)
	delta, err := c.replica.DeltaSince(catalogue.Revision(revision))
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&rpc.Delta{Changes: delta.Changes, Through: uint64(delta.Through)})
}

// Merge implements membership.Rider.
func (c catalogueRider) Merge([]byte) error { return nil }

// revocationRider stands for an empty set of emergency revocations.
type revocationRider struct{}

// emptyDigestBytes is the size of the digest of an empty set.
const emptyDigestBytes = 20

// Name implements membership.Rider.
func (revocationRider) Name() string { return "revocations" }

// Summary implements membership.Rider.
func (revocationRider) Summary() []byte { return make([]byte, emptyDigestBytes) }

// Covers implements membership.Rider.
func (revocationRider) Covers([]byte) bool { return true }

// Delta implements membership.Rider.
func (revocationRider) Delta([]byte) ([]byte, error) { return []byte("[]"), nil }

// Merge implements membership.Rider.
func (revocationRider) Merge([]byte) error { return nil }
