package daemon

import (
	"encoding/binary"
	"errors"

	"google.golang.org/protobuf/proto"

	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// errSnapshotNeeded reports a peer that lacks more changes than this daemon keeps; the peer
// fetches a whole snapshot with a separate call.
var errSnapshotNeeded = errors.New("peer needs a whole catalogue snapshot")

// catalogueRider carries catalogue changes on every gossip exchange, so that a heartbeat or a
// relayed platform read is evidence of freshness only together with the changes that its sender
// had.
type catalogueRider struct {
	replica *catalogsync.Replica
}

// Name implements membership.Rider.
func (c *catalogueRider) Name() string {
	return "catalogue"
}

// Summary implements membership.Rider. It encodes the applied revision.
func (c *catalogueRider) Summary() []byte {
	return binary.AppendUvarint(nil, uint64(c.replica.Snapshot().Revision()))
}

// Covers implements membership.Rider.
func (c *catalogueRider) Covers(summary []byte) bool {
	revision, n := binary.Uvarint(summary)
	return n > 0 && uint64(c.replica.Snapshot().Revision()) >= revision
}

// Delta implements membership.Rider.
func (c *catalogueRider) Delta(summary []byte) ([]byte, error) {
	revision, n := binary.Uvarint(summary)
	if n <= 0 {
		return nil, errors.New("summary is not a revision")
	}
	delta, err := c.replica.DeltaSince(catalogue.Revision(revision))
	if err != nil {
		return nil, err
	}
	if len(delta.Snapshot) > 0 {
		return nil, errSnapshotNeeded
	}
	return proto.Marshal(&rpc.Delta{Changes: delta.Changes, Through: uint64(delta.Through)})
}

// Merge implements membership.Rider.
func (c *catalogueRider) Merge(data []byte) error {
	var delta rpc.Delta
	if err := proto.Unmarshal(data, &delta); err != nil {
		return err
	}
	return c.replica.ApplyDelta(catalogsync.Delta{
		Changes: delta.GetChanges(),
		Through: catalogue.Revision(delta.GetThrough()),
	})
}
