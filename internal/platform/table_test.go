package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/platform"
	rpc "buckthornlatch.example/buckthornlatch/rpc/platform"
)

// describeTable defines the specs that both Memory and Client must pass.
func describeTable(open func() (platform.Table, platform.ObjectStore)) {
	var (
		table   platform.Table
		objects platform.ObjectStore
		ctx     = context.Background()
	)

	BeforeEach(func() { table, objects = open() })

	put := func(key, value string) platform.Revision {
		revision, err := table.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: key, Value: []byte(value)}}})
		Expect(err).NotTo(HaveOccurred())
		return revision
	}

	// Guards against a partial write when one condition of several fails.
	It("applies all writes or none", func() {
		revision := put("a", "1")
		_, err := table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: "a", Revision: revision}, {Key: "b", Revision: revision}},
			Puts:       []platform.Put{{Key: "a", Value: []byte("2")}, {Key: "b", Value: []byte("2")}},
		})
		var conflict *platform.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Rows).To(HaveLen(2))
		Expect(string(conflict.Rows[0].Value)).To(Equal("1"))
		Expect(conflict.Rows[1].Exists()).To(BeFalse())
		rows, err := table.Get(ctx, []string{"a", "b"})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rows.Rows[0].Value)).To(Equal("1"))
		Expect(rows.Rows[1].Exists()).To(BeFalse())
	})

	// Guards against a deleted row that satisfies a condition on its old revision or fails a condition that requires absence.
	It("treats a deleted row as absent", func() {
		revision := put("a", "1")
		_, err := table.Commit(ctx, platform.Txn{Deletes: []string{"a"}})
		Expect(err).NotTo(HaveOccurred())
		_, err = table.Commit(ctx, platform.Txn{Conditions: []platform.Condition{{Key: "a", Revision: revision}}})
		Expect(err).To(BeAssignableToTypeOf(&platform.ConflictError{}))
		_, err = table.Commit(ctx, platform.Txn{Conditions: []platform.Condition{{Key: "a"}}})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against rows that are skipped or repeated at the boundaries of pages and prefixes.
	It("scans pages in key order", func() {
		for _, key := range []string{"p/3", "p/1", "q/0", "p/2", "o/9"} {
			put(key, key)
		}
		var keys []string
		after := ""
		for {
			page, err := table.Scan(ctx, "p/", after, 2)
			Expect(err).NotTo(HaveOccurred())
			for _, row := range page.Rows {
				keys = append(keys, row.Key)
				after = row.Key
			}
			if !page.More {
				break
			}
		}
		Expect(keys).To(Equal([]string{"p/1", "p/2", "p/3"}))
	})

	// Guards against a reader that asks for the same empty page for ever: no row, and more to come.
	DescribeTable("makes progress with every limit", func(limit int) {
		put("p/1", "1")
		put("p/2", "2")
		page, err := table.Scan(ctx, "p/", "", limit)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Rows).NotTo(BeEmpty())
		Expect(page.More).To(Equal(len(page.Rows) == 1))
		changes, err := table.Changes(ctx, "p/", 0, limit)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Through).To(BeNumerically(">", 0))
		Expect(changes.Rows).NotTo(BeEmpty())
	}, Entry(nil, -1), Entry(nil, 0), Entry(nil, 1), Entry(nil, 1<<40))

	// Guards against a commit split across two pages of changes, which a reader would apply in parts.
	It("never splits a commit between pages of changes", func() {
		put("p/0", "old")
		_, err := table.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: "p/1"}, {Key: "p/2"}, {Key: "p/3"}}})
		Expect(err).NotTo(HaveOccurred())
		last := put("p/0", "new")
		page, err := table.Changes(ctx, "p/", 0, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Rows).To(HaveLen(3))
		Expect(page.More).To(BeTrue())
		page, err = table.Changes(ctx, "p/", page.Through, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Rows).To(HaveLen(1))
		Expect(string(page.Rows[0].Value)).To(Equal("new"))
		Expect(page.Through).To(Equal(last))
		Expect(page.More).To(BeFalse())
	})

	// Guards against log compaction that loses the latest state of a row.
	It("keeps the latest state of every row through many writes", func() {
		put("p/stable", "s")
		for range 3000 {
			put("p/hot", "h")
		}
		page, err := table.Changes(ctx, "p/", 0, 100)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Rows).To(HaveLen(2))
		Expect(page.Rows[0].Key).To(Equal("p/stable"))
	})

	// Guards against reporting a missing object as an outage or an outage as a missing object.
	It("stores objects", func() {
		_, err := objects.Get(ctx, "o")
		Expect(err).To(MatchError(platform.ErrNoObject))
		Expect(objects.Put(ctx, "o", []byte("x"))).To(Succeed())
		data, err := objects.Get(ctx, "o")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal("x"))
	})
}

var _ = Describe("Memory", func() {
	describeTable(func() (platform.Table, platform.ObjectStore) {
		memory := platform.NewMemory()
		return memory.Table(), memory.Objects()
	})
})

var _ = Describe("Client", func() {
	describeTable(func() (platform.Table, platform.ObjectStore) {
		memory := platform.NewMemory()
		server := httptest.NewServer(rpc.NewPlatformServer(platform.NewServer(memory.Table(), memory.Objects())))
		DeferCleanup(server.Close)
		client := platform.NewClient(server.URL, server.Client())
		return client.Table(), client.Objects()
	})

	// Guards against reporting a write as not done when the connection broke after the write was sent.
	It("reports the outcome as unknown after a broken connection and as not done after a failed dial", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}))
		httpClient := &http.Client{Timeout: time.Second}
		client := platform.NewClient(server.URL, httpClient)
		_, err := client.Table().Commit(context.Background(), platform.Txn{})
		Expect(err).To(BeAssignableToTypeOf(&platform.OutcomeUnknownError{}))
		server.Close()
		_, err = client.Table().Commit(context.Background(), platform.Txn{})
		Expect(err).To(BeAssignableToTypeOf(&platform.NotDoneError{}))
	})

	// Guards against treating an intermediary's error page as a rejection; the intermediary may have forwarded the write.
	It("reports the outcome as unknown after an intermediary's error", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		DeferCleanup(server.Close)
		client := platform.NewClient(server.URL, server.Client())
		_, err := client.Table().Commit(context.Background(), platform.Txn{})
		Expect(err).To(BeAssignableToTypeOf(&platform.OutcomeUnknownError{}))
	})
})
