package cataloguestore

import (
	"google.golang.org/protobuf/proto"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// Store reads and writes the catalogue's rows and its snapshot object. It is safe for concurrent use.
type Store struct {
	table   platform.Table
	objects platform.ObjectStore
}

// New returns a store backed by the platform's table and object store.
func New(table platform.Table, objects platform.ObjectStore) *Store {
	return &Store{table: table, objects: objects}
}

// revisionOf decodes the revision of the head or snapshot row; zero when the row does not exist.
func revisionOf(row platform.Row) (catalogue.Revision, error) {
	if !row.Exists() {
		return 0, nil
	}
	var head rpc.HeadRow
	if err := proto.Unmarshal(row.Value, &head); err != nil {
		return 0, &codec.DecodeError{What: row.Key, Reason: err.Error()}
	}
	return catalogue.Revision(head.GetRevision()), nil
}

// revisionRow encodes the head or snapshot row.
func revisionRow(key string, revision catalogue.Revision) (platform.Put, error) {
	value, err := proto.Marshal(&rpc.HeadRow{Revision: uint64(revision)})
	if err != nil {
		return platform.Put{}, &codec.DecodeError{What: key, Reason: err.Error()}
	}
	return platform.Put{Key: key, Value: value}, nil
}
