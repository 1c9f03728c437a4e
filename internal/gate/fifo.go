package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// FIFO is an Order without fairness between customers, bounded by the service's QueueLimit.
type FIFO struct {
	queues map[id.ServiceName][]Waiter
	of     map[WaiterID]id.ServiceName
}

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO {
	return &FIFO{queues: map[id.ServiceName][]Waiter{}, of: map[WaiterID]id.ServiceName{}}
}

// Enqueue implements Order. A service without a limit queues nothing beyond its slots.
func (f *FIFO) Enqueue(_ clock.Time, w Waiter) error {
	queue := f.queues[w.Service.Name]
	if len(queue) > w.Service.QueueLimit {
		return &Refused{Code: problem.QueueFull}
	}
	f.queues[w.Service.Name] = append(queue, w)
	f.of[w.ID] = w.Service.Name
	return nil
}

// Next implements Order.
func (f *FIFO) Next(_ clock.Time, service id.ServiceName) (Turn, bool) {
	queue := f.queues[service]
	if len(queue) == 0 {
		return Turn{}, false
	}
	f.Remove(queue[0].ID)
	return Turn{ID: queue[0].ID}, true
}

// Remove implements Order.
func (f *FIFO) Remove(waiter WaiterID) {
	service, ok := f.of[waiter]
	if !ok {
		return
	}
	delete(f.of, waiter)
	queue := f.queues[service]
	for i, w := range queue {
		if w.ID == waiter {
			f.queues[service] = append(queue[:i:i], queue[i+1:]...)
			return
		}
	}
}

// Served implements Order.
func (f *FIFO) Served(id.ServiceName, id.CustomerID, time.Duration) {}

// Len implements Order.
func (f *FIFO) Len(service id.ServiceName) int {
	return len(f.queues[service])
}
