package fairqueue

import "container/heap"

// flowHeap is a heap of flows that stores the index of each flow in the flow.
// It implements heap.Interface.
type flowHeap struct {
	flows  []*flow
	before func(a, b *flow) bool
	index  func(f *flow) *int
}

// newReadyHeap orders backlogged flows by start tag.
func newReadyHeap() *flowHeap {
	return &flowHeap{
		before: func(a, b *flow) bool { return a.startTag < b.startTag },
		index:  func(f *flow) *int { return &f.readyIndex },
	}
}

// newLengthHeap orders backlogged flows by length relative to weight, longest first.
func newLengthHeap() *flowHeap {
	return &flowHeap{
		before: func(a, b *flow) bool { return relativelyLonger(a.length, a.weight, b.length, b.weight) },
		index:  func(f *flow) *int { return &f.lengthIndex },
	}
}

// newIdleHeap orders empty flows by the virtual time at which they can be removed.
func newIdleHeap() *flowHeap {
	return &flowHeap{
		before: func(a, b *flow) bool { return a.startTag < b.startTag },
		index:  func(f *flow) *int { return &f.idleIndex },
	}
}

// set inserts f, or moves it to its new place after a change.
func (h *flowHeap) set(f *flow) {
	if p := *h.index(f); p >= 0 {
		heap.Fix(h, p)
		return
	}
	heap.Push(h, f)
}

// remove removes f if the heap contains it.
func (h *flowHeap) remove(f *flow) {
	if p := *h.index(f); p >= 0 {
		heap.Remove(h, p)
	}
}

// top returns the first flow, or nil if the heap is empty.
func (h *flowHeap) top() *flow {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}

// Len implements heap.Interface.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less implements heap.Interface.
func (h *flowHeap) Less(i, j int) bool { return h.before(h.flows[i], h.flows[j]) }

// Swap implements heap.Interface.
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	*h.index(h.flows[i]) = i
	*h.index(h.flows[j]) = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	*h.index(f) = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	*h.index(f) = -1
	return f
}
