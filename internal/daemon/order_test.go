package daemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

var _ = Describe("fairOrder", func() {
	service := catalogue.Service{Name: "reservas", QueueLimit: 4, QueueLimitPerCustomer: 4}
	waiter := func(n int, customer id.CustomerID) gate.Waiter {
		return gate.Waiter{ID: gate.WaiterID(n), Service: service, Customer: customer, Weight: 1, Remaining: 1 << 40}
	}

	// Guards against a waiter that is shed to make room and is never reported.
	It("returns every waiter exactly once, including the shed one", func() {
		order := newFairOrder(&clock.Fake{})
		for n := range 4 {
			Expect(order.Enqueue(0, waiter(n, "large"))).To(Succeed())
		}
		Expect(order.Enqueue(0, waiter(4, "small"))).To(Succeed())
		seen := make(map[gate.WaiterID]bool)
		shed := 0
		for {
			turn, ok := order.Next(0, "reservas")
			if !ok {
				break
			}
			Expect(seen[turn.ID]).To(BeFalse())
			seen[turn.ID] = true
			if turn.Shed {
				shed++
			}
		}
		Expect(seen).To(HaveLen(5))
		Expect(shed).To(Equal(1))
		Expect(seen).To(HaveKey(gate.WaiterID(4)))
	})

	// Guards against a slot given to a caller that disconnected.
	It("does not return a removed waiter", func() {
		order := newFairOrder(&clock.Fake{})
		Expect(order.Enqueue(0, waiter(1, "a"))).To(Succeed())
		order.Remove(1)
		order.Remove(1)
		_, ok := order.Next(0, "reservas")
		Expect(ok).To(BeFalse())
		Expect(order.Len("reservas")).To(BeZero())
	})
})
