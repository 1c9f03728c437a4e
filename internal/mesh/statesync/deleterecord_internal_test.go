package statesync

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

var _ = Describe("Records that tell of a leaving", func() {
	// Guards against a leaving that is forgotten while late messages of its target may still arrive, and against records that stay
	// for ever.
	DescribeTable("are deleted only when they are old",
		func(state roster.State, age time.Duration, departed, deletable bool) {
			store := platform.NewMemory()
			s := newInternal(store, "a:1")
			revision, err := store.Table().Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: "hosts/b:1", Value: []byte("{}")}}})
			Expect(err).NotTo(HaveOccurred())
			s.setRecord("b:1", storedRecord{record: roster.Record{Host: "b:1", Service: "walks", State: state}, revision: revision})
			known := s.records["b:1"]
			known.since = time.Now().Add(-age)
			s.records["b:1"] = known
			s.setRecord("b:1", storedRecord{record: known.record, revision: revision})
			want := []id.HostID(nil)
			if departed {
				want = []id.HostID{"b:1"}
			}
			Expect(s.departed()).To(Equal(want))
			Expect(s.DeleteRecord(context.Background(), "b:1")).To(Succeed())
			rows, err := store.Table().Scan(context.Background(), "hosts/", "", 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(rows.Rows).To(HaveLen(map[bool]int{true: 0, false: 1}[deletable]))
		},
		Entry("serving", roster.Serving, time.Second, false, true),
		Entry("draining, young", roster.Draining, departedRetention/2, false, false),
		Entry("draining, old", roster.Draining, 2*departedRetention, false, true),
		Entry("gone, young", roster.Gone, departedRetention/2, false, false),
		Entry("gone, old", roster.Gone, 2*departedRetention, true, true),
	)
})

// newInternal returns a syncer that is not running.
func newInternal(store *platform.Memory, self id.HostID) *Syncer {
	return New(Config{
		Self: self, Domain: "north", Store: memoryFeed{store.Table()}, Keys: Keys{HostPrefix: "hosts/"},
		OnChange: func(*policy.Snapshot, *roster.View) {}, OnRestored: func(roster.Record) {},
	})
}

// memoryFeed is a store whose watches end at once.
type memoryFeed struct{ platform.Table }

// Watch implements platform.Feed.
func (f memoryFeed) Watch(ctx context.Context, prefix string, since platform.Revision, _ time.Duration) (platform.Rows, error) {
	return f.Changes(ctx, prefix, since, scanLimit)
}
