package slots_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fairqueue"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/slots"
)

var _ = Describe("Pool", func() {
	var pool *slots.Pool
	acquire := func(ctx context.Context, remaining time.Duration) (*slots.Slot, error) {
		return pool.Acquire(ctx, "filing", "c", 1, remaining)
	}
	BeforeEach(func() {
		pool = slots.New(clock.NewSystem())
		pool.Configure("filing", fairqueue.Config{Limit: 2, LimitPerCustomer: 1})
		pool.SetCapacity("filing", 1)
	})

	// Guards against refusals that callers cannot tell apart.
	It("returns typed refusals", func() {
		_, err := pool.Acquire(context.Background(), "other", "c", 1, time.Second)
		Expect(err).To(MatchError(slots.ErrUnknownService))
		held, err := acquire(context.Background(), time.Second)
		Expect(err).NotTo(HaveOccurred())
		defer held.Release()
		var refusal *fairqueue.Refusal
		_, err = acquire(context.Background(), 10*time.Millisecond)
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(fairqueue.DeadlineTooShort))
		go acquire(context.Background(), time.Second)
		Eventually(func() int { return pool.Load("filing").Waiting }).Should(Equal(1))
		_, err = acquire(context.Background(), time.Second)
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(fairqueue.CustomerBound))
		pool.Close()
		_, err = acquire(context.Background(), time.Second)
		Expect(err).To(MatchError(slots.ErrClosed))
	})

	// Guards against slots that are lost or used twice when callers leave while being served.
	It("keeps the number of slots under cancellation", func() {
		pool.Configure("filing", fairqueue.Config{Limit: 50, LimitPerCustomer: 50})
		pool.SetCapacity("filing", 3)
		var running atomic.Int32
		var group sync.WaitGroup
		for i := range 60 {
			group.Go(func() {
				defer GinkgoRecover()
				for j := range 30 {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration((i+j)%7)*100*time.Microsecond)
					slot, err := pool.Acquire(ctx, "filing", id.CustomerID(fmt.Sprint(i%5)), 1, time.Second)
					if err == nil {
						Expect(running.Add(1)).To(BeNumerically("<=", 3))
						time.Sleep(50 * time.Microsecond)
						running.Add(-1)
						slot.Finish()
						slot.Release()
					}
					cancel()
				}
			})
		}
		group.Wait()
		Expect(pool.Load("filing")).To(Equal(slots.Load{Capacity: 3}))
	})
})
