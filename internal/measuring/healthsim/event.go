package healthsim

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// queue orders events by time, and those of one time by the order in which they were added.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// timeline runs events in order.
type timeline struct {
	now    time.Duration
	events queue
	orders uint64
}

// after schedules do.
func (t *timeline) after(d time.Duration, do func()) {
	t.orders++
	heap.Push(&t.events, event{at: t.now + d, order: t.orders, do: do})
}

// run executes the events up to a time.
func (t *timeline) run(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= until {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.do()
	}
	t.now = until
}
