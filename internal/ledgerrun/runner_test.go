package ledgerrun_test

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ledgerrun"
	ledgerpb "buckthornlatch.example/buckthornlatch/rpc/ledger"
)

func TestLedgerrun(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledgerrun")
}

// ownKeys records the keys of all calls of Begin.
type ownKeys struct{ keys []string }

func (o *ownKeys) Begin(_ context.Context, _ id.CustomerID, key, _ string) (ledger.Decision, error) {
	o.keys = append(o.keys, key)
	return ledger.Decision{Kind: ledger.StoreUnavailable}, nil
}

func (o *ownKeys) Finish(ledger.ClaimID, ledger.Outcome) {}

// emptyDirectory has no holders.
type emptyDirectory struct{}

func (emptyDirectory) Holder(ledger.Location) (id.HostID, bool) { return "", false }

var _ = Describe("Runner", func() {
	var (
		keys   *ownKeys
		runner *ledgerrun.Runner
	)

	BeforeEach(func() {
		keys = &ownKeys{}
		var err error
		runner, err = ledgerrun.New(ledgerrun.Config{
			Self: "trelew-1", Clock: clock.NewSystem(), Random: rand.Reader, OwnKeys: keys,
			Directory: emptyDirectory{}, Settings: ledgerrun.DefaultSettings(),
			Dial: func(id.HostID) (ledgerpb.Tickets, error) { return nil, errors.New("no network") },
		})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against tickets without an epoch, which no daemon could decide after a restart.
	It("issues tickets only when registered", func() {
		_, err := runner.Issue("chubut", 1)
		var refused *ledgerrun.NotIssuedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(runner.StartEpoch(1)).To(Succeed())
		Expect(runner.Issue("chubut", 1000)).To(HaveLen(100))
	})

	// Guards against treating a caller's key as a ticket, and against treating a key with and without
	// quotes as two keys.
	It("distinguishes tickets from callers' own keys", func() {
		for _, key := range []string{"order-7", `"order-7"`} {
			d, err := runner.Begin(context.Background(), "chubut", key, "f")
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Kind).To(Equal(ledger.StoreUnavailable))
		}
		Expect(keys.keys).To(Equal([]string{"order-7", "order-7"}))
		d, err := runner.Begin(context.Background(), "chubut", "blt1_AAAA", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Kind).To(Equal(ledger.Invalid))
	})

	// Guards against two runs of one ticket when sends arrive concurrently.
	It("lets one of many concurrent sends run", func() {
		Expect(runner.StartEpoch(1)).To(Succeed())
		tickets, err := runner.Issue("chubut", 100)
		Expect(err).NotTo(HaveOccurred())
		var runs atomic.Int64
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() {
				defer GinkgoRecover()
				for _, t := range tickets {
					d, err := runner.Begin(context.Background(), "chubut", t, "f")
					Expect(err).NotTo(HaveOccurred())
					if d.Kind == ledger.Run {
						runs.Add(1)
						runner.Finish(context.Background(), d.Claim, ledger.Ran(ledger.Response{Status: 201}))
					}
				}
			})
		}
		wait.Wait()
		Expect(runs.Load()).To(BeEquivalentTo(100))
	})

	// Guards against deciding tickets of an epoch whose ledger was lost.
	It("returns IssuerLost for a ticket whose records no daemon holds", func() {
		lost, err := ledger.New(ledger.Location{Host: "trelew-1", Epoch: 1}, ledger.Secret{1}, ledger.DefaultSettings())
		Expect(err).NotTo(HaveOccurred())
		t, err := lost.Issue("chubut", ledger.Random{1}, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(runner.StartEpoch(2)).To(Succeed())
		d, err := runner.Begin(context.Background(), "chubut", t, "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Kind).To(Equal(ledger.IssuerLost))
		details, ok := d.Refusal()
		Expect(ok).To(BeTrue())
		Expect(string(details.Run)).To(Equal("unknown"))
		Expect(string(details.Send)).To(Equal("not-run"))
	})
})
