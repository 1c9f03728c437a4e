package ratelimit

import (
	"container/heap"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// timers is a heap of balances ordered by the time of their next work.
// It implements heap.Interface.
type timers []*balance

// set inserts b or moves it to its new due time.
func (t *timers) set(b *balance, due clock.Time) {
	b.due = due
	if b.heapIndex >= 0 {
		heap.Fix(t, b.heapIndex)
		return
	}
	heap.Push(t, b)
}

// remove removes b if it is present.
func (t *timers) remove(b *balance) {
	if b.heapIndex >= 0 {
		heap.Remove(t, b.heapIndex)
	}
}

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	b := x.(*balance)
	b.heapIndex = len(*t)
	*t = append(*t, b)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	b := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	b.heapIndex = -1
	return b
}
