package ratesim

import (
	"container/heap"
	"time"
)

// event is a function to run at a simulated time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// events is a heap of events; events at the same time run in the order of
// insertion. It implements heap.Interface.
type events struct {
	list  []event
	order uint64
	now   time.Duration
}

// schedule runs f at the time.
func (e *events) schedule(at time.Duration, f func()) {
	e.order++
	heap.Push(e, event{max(at, e.now), e.order, f})
}

// runUntil runs the events up to end.
func (e *events) runUntil(end time.Duration) {
	for len(e.list) > 0 && e.list[0].at <= end {
		next := heap.Pop(e).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// Len implements heap.Interface.
func (e *events) Len() int { return len(e.list) }

// Less implements heap.Interface.
func (e *events) Less(i, j int) bool {
	if e.list[i].at != e.list[j].at {
		return e.list[i].at < e.list[j].at
	}
	return e.list[i].order < e.list[j].order
}

// Swap implements heap.Interface.
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { e.list = append(e.list, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(e.list) - 1
	x := e.list[last]
	e.list[last] = event{}
	e.list = e.list[:last]
	return x
}
