package fairqueue_test

import (
	"fmt"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/fairqueue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// BenchmarkQueue measures one Enqueue and one Next with four waiting requests
// per customer.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{100, 400, 1600, 6400} {
		b.Run(fmt.Sprintf("backlogged=%d", n), func(b *testing.B) {
			q := fairqueue.New(fairqueue.Config{Limit: 8 * n})
			customers := make([]id.CustomerID, n)
			for i := range customers {
				customers[i] = id.CustomerID(fmt.Sprint("customer-", i))
				for range 4 {
					q.Enqueue(0, request(customers[i]), 0)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Enqueue(0, request(customers[i%n]), 0)
				q.Next(0, 0)
			}
		})
	}
}
