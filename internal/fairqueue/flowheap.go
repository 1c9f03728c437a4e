package fairqueue

import "container/heap"

// flowHeap is a heap of flows with positions kept in the flows.
// It implements heap.Interface.
type flowHeap struct {
	flows    []*flow
	before   func(a, b *flow) bool
	position func(f *flow) *int
}

// newReadyHeap orders backlogged flows by start tag.
func newReadyHeap() *flowHeap {
	return &flowHeap{
		before:   func(a, b *flow) bool { return a.start < b.start },
		position: func(f *flow) *int { return &f.ready },
	}
}

// newLongHeap orders backlogged flows by length relative to weight, longest first.
func newLongHeap() *flowHeap {
	return &flowHeap{
		before:   func(a, b *flow) bool { return relativelyLonger(a.length, a.weight, b.length, b.weight) },
		position: func(f *flow) *int { return &f.long },
	}
}

// newIdleHeap orders empty flows by the time at which they can be forgotten.
func newIdleHeap() *flowHeap {
	return &flowHeap{
		before:   func(a, b *flow) bool { return a.start < b.start },
		position: func(f *flow) *int { return &f.idle },
	}
}

// set inserts f or restores its place after a change.
func (h *flowHeap) set(f *flow) {
	if p := *h.position(f); p >= 0 {
		heap.Fix(h, p)
		return
	}
	heap.Push(h, f)
}

// remove takes f out if it is in.
func (h *flowHeap) remove(f *flow) {
	if p := *h.position(f); p >= 0 {
		heap.Remove(h, p)
	}
}

// top returns the first flow, or nil.
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
	*h.position(h.flows[i]) = i
	*h.position(h.flows[j]) = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	*h.position(f) = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	*h.position(f) = -1
	return f
}
