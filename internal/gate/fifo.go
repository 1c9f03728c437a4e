package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// FIFO is an Order without fairness between customers, bounded by the service's QueueLimit.
type FIFO struct {
	queues    map[id.ServiceName][]Waiter
	serviceOf map[WaiterID]id.ServiceName
}

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO {
	return &FIFO{queues: map[id.ServiceName][]Waiter{}, serviceOf: map[WaiterID]id.ServiceName{}}
}

// Enqueue implements Order. The queue may hold one waiter more than QueueLimit, because an attempt that gets a
// free slot at once passes through the queue too.
func (f *FIFO) Enqueue(_ clock.Time, w Waiter) error {
	queue := f.queues[w.Service.Name]
	if len(queue) > w.Service.QueueLimit {
		return &RefusedError{Code: problem.QueueFull}
	}
	f.queues[w.Service.Name] = append(queue, w)
	f.serviceOf[w.ID] = w.Service.Name
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
	service, ok := f.serviceOf[waiter]
	if !ok {
		return
	}
	delete(f.serviceOf, waiter)
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
