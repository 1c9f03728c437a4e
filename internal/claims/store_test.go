package claims

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

func TestClaims(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claims")
}

// hungTable never answers before the context ends.
type hungTable struct{}

func (hungTable) Commit(ctx context.Context, _ Txn) (Revision, error) {
	<-ctx.Done()
	return 0, &OutcomeUnknownError{ctx.Err()}
}

func (hungTable) Get(ctx context.Context, _ []string) ([]Row, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

var _ = Describe("Store", func() {
	var settings Settings

	BeforeEach(func() { settings = DefaultSettings() })

	// run starts a store over a table with the real clock.
	run := func(table Table) *Store {
		s, err := New(Config{Table: table, Clock: clock.NewSystem(), Random: rand.Reader, Host: "trelew-1", Settings: settings})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Run(ctx)
		}()
		DeferCleanup(func() { cancel(); <-done })
		return s
	}

	// Guards against one commit per claim, which would overload the platform.
	It("commits waiting claims in groups", func() {
		table := newFakeTable()
		settings.CommitInterval, settings.CommitBurst = 50*time.Millisecond, 1
		s := run(table)
		var wait sync.WaitGroup
		for n := range 400 {
			wait.Go(func() {
				defer GinkgoRecover()
				d, err := s.Begin(context.Background(), "chubut", fmt.Sprint(n), "f")
				Expect(err).NotTo(HaveOccurred())
				Expect(d.Kind).To(Equal(ledger.Run))
			})
		}
		wait.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(table.commits).To(BeNumerically("<=", 10))
	})

	// Guards against callers that hang when the platform does not answer.
	It("refuses within a bounded time when the table does not answer", func() {
		settings.MaxWait, settings.CommitTimeout = 100*time.Millisecond, 50*time.Millisecond
		s := run(hungTable{})
		start := time.Now()
		d, err := s.Begin(context.Background(), "chubut", "order", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Kind).To(Equal(ledger.StoreUnavailable))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})

	// Guards against running a request whose caller has disconnected, and against leaving its key
	// unusable.
	It("releases the claim of a caller that stops waiting", func() {
		table := newFakeTable()
		s, err := New(Config{Table: table, Clock: &clock.Fake{}, Random: rand.Reader, Settings: settings})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = s.Begin(ctx, "chubut", "order", "f")
		Expect(err).To(MatchError(context.Canceled))
		s.Flush(context.Background())
		decided, _ := s.submit(hashKey("chubut", "order"), "f")
		s.Flush(context.Background())
		Expect(decided).To(Receive(HaveField("Kind", ledger.Run)))
	})

	// Guards against a table that grows without bound, and against removal before the window has passed.
	It("removes its rows after the window", func() {
		table, fake := newFakeTable(), &clock.Fake{}
		s, err := New(Config{Table: table, Clock: fake, Random: rand.Reader, Settings: settings})
		Expect(err).NotTo(HaveOccurred())
		decided, _ := s.submit(hashKey("chubut", "order"), "f")
		s.Flush(context.Background())
		d := <-decided
		s.Finish(d.Claim, ledger.Ran(ledger.Response{Status: 201, Body: []byte("seat 4")}))
		fake.Advance(10 * time.Second)
		s.Flush(context.Background())
		Expect(s.Pending()).To(BeZero())
		fake.Advance(settings.Window - time.Second)
		s.Flush(context.Background())
		Expect(table.rows).To(HaveLen(1))
		replay, err := s.Begin(context.Background(), "chubut", "order", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(replay.Response.Body)).To(Equal("seat 4"))
		fake.Advance(time.Second)
		s.Flush(context.Background())
		Expect(table.rows).To(BeEmpty())
		Expect(s.entries).To(BeEmpty())
	})

	// Guards against answering a request with the response of another one that used the same key.
	It("refuses a different request with the same key", func() {
		table := newFakeTable()
		s, err := New(Config{Table: table, Clock: &clock.Fake{}, Random: rand.Reader, Settings: settings})
		Expect(err).NotTo(HaveOccurred())
		s.submit(hashKey("chubut", "order"), "f")
		s.Flush(context.Background())
		_, d := s.submit(hashKey("chubut", "order"), "g")
		Expect(d.Kind).To(Equal(ledger.KeyReused))
		decided, _ := s.submit(hashKey("latvia", "order"), "g")
		s.Flush(context.Background())
		Expect(decided).To(Receive(HaveField("Kind", ledger.Run)))
	})
})
