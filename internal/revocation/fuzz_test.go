package revocation_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"buckthornlatch.example/buckthornlatch/internal/revocation"
	rpc "buckthornlatch.example/buckthornlatch/rpc/revocation"
)

// FuzzMerge guards against a message that causes a panic, removes a record or
// adds an invalid one.
func FuzzMerge(f *testing.F) {
	held := revocation.Record{Key: "k", Operator: "op", ChangeID: "c"}
	seed, err := proto.Marshal(revocation.ToRPC([]revocation.Record{held, {Key: "k2", Operator: "op", ChangeID: "d", Why: "w"}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var message rpc.Records
		if proto.Unmarshal(data, &message) != nil {
			return
		}
		var set revocation.Set
		if err := set.Add(held); err != nil {
			t.Fatal(err)
		}
		_, _ = set.MergeRPC(&message)
		if !set.Contains(held.Key) {
			t.Fatal("a record was removed")
		}
		for _, r := range set.Records() {
			if err := r.Validate(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
