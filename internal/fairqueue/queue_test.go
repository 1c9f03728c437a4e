package fairqueue_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fairqueue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

func request(customer id.CustomerID) fairqueue.Request {
	return fairqueue.Request{Customer: customer, Weight: 1, Remaining: time.Second}
}

var _ = Describe("Queue", func() {
	// Guards against a full queue that refuses customers with short queues.
	It("sheds from the longest queue instead of refusing a customer with a shorter one", func() {
		q := fairqueue.New(fairqueue.Config{Limit: 3})
		var last fairqueue.Ticket
		for range 3 {
			last, _, _ = q.Enqueue(0, request("large"), 0)
		}
		_, shed, refusal := q.Enqueue(0, request("small"), 0)
		Expect(refusal).To(BeNil())
		Expect(shed.Ticket).To(Equal(last))
		Expect(shed.Refusal.Reason).To(Equal(fairqueue.QueueFull))
		_, _, refusal = q.Enqueue(0, request("large"), 0)
		Expect(refusal.Reason).To(Equal(fairqueue.QueueFull))
	})

	// Guards against work on requests whose callers can no longer use the result.
	It("sheds requests that cannot finish in time", func() {
		q := fairqueue.New(fairqueue.Config{Limit: 3})
		_, _, refusal := q.Enqueue(0, request("a"), 2*time.Second)
		Expect(refusal.Reason).To(Equal(fairqueue.DeadlineTooShort))
		ticket, _, _ := q.Enqueue(0, request("a"), 100*time.Millisecond)
		_, found, shed := q.Next(clock.Time(950*time.Millisecond), 100*time.Millisecond)
		Expect(found).To(BeFalse())
		Expect(shed).To(HaveLen(1))
		Expect(shed[0].Ticket).To(Equal(ticket))
	})

	// Guards against state that grows with the number of customers ever served while
	// the queue never empties.
	It("removes the state of customers without requests", func() {
		q := fairqueue.New(fairqueue.Config{Limit: 100})
		for range 10 {
			q.Enqueue(0, request("steady"), 0)
		}
		for i := range 10_000 {
			q.Enqueue(0, request(id.CustomerID(fmt.Sprint("passing-", i))), 0)
			q.Enqueue(0, request("steady"), 0)
			q.Next(0, 0)
			q.Next(0, 0)
			Expect(q.Flows()).To(BeNumerically("<=", 30))
		}
		Expect(q.Len()).To(Equal(10))
	})

	// Guards against an estimate so high that every request is refused and no observation corrects it.
	It("lets an estimate decay without observations", func() {
		var e fairqueue.Estimator
		e.Observe(0, 10*time.Second)
		Expect(e.Expected(0)).To(Equal(10 * time.Second))
		Expect(e.Expected(clock.Time(time.Minute))).To(BeNumerically("<", 100*time.Millisecond))
	})
})
