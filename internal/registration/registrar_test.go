package registration_test

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

// losingTable loses the response to the first commit that takes effect.
type losingTable struct {
	platform.Table
	lost bool
}

func (t *losingTable) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	revision, err := t.Table.Commit(ctx, txn)
	if err == nil && !t.lost {
		t.lost = true
		return 0, &platform.OutcomeUnknownError{Step: "commit", Err: errors.New("response lost")}
	}
	return revision, err
}

func owner(incarnation id.Incarnation) registration.Owner {
	return registration.Owner{Host: "trelew-1", Incarnation: incarnation, Peer: "127.0.0.1:1"}
}

var _ = Describe("Register", func() {
	ctx := context.Background()

	It("raises the epoch with every process", func() {
		registrar := registration.New(platform.NewMemory().Table())
		first, err := registrar.Register(ctx, owner(10))
		Expect(err).NotTo(HaveOccurred())
		second, err := registrar.Register(ctx, owner(20))
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Epoch).To(Equal(first.Epoch + 1))
	})

	// Guards against a process that gets a second epoch after a lost response.
	It("returns the same epoch after a lost response", func() {
		registrar := registration.New(&losingTable{Table: platform.NewMemory().Table()})
		_, err := registrar.Register(ctx, owner(10))
		var unknown *platform.OutcomeUnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		again, err := registrar.Register(ctx, owner(10))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Epoch).To(Equal(id.Epoch(1)))
	})

	// Guards against an old process that registers again after its replacement has registered.
	It("refuses an older process", func() {
		registrar := registration.New(platform.NewMemory().Table())
		_, err := registrar.Register(ctx, owner(20))
		Expect(err).NotTo(HaveOccurred())
		_, err = registrar.Register(ctx, owner(10))
		Expect(err).To(MatchError(registration.ErrSuperseded))
		owners, _, err := registrar.Changes(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(owners).To(HaveLen(1))
		Expect(owners[0].Epoch).To(Equal(id.Epoch(1)))
	})
})
