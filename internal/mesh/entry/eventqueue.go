package entry

import "sync"

// eventQueue passes the events of a request's attempts on in the order in which they happened. Adding never blocks:
// signals arrive on the goroutine that also receives the end of their attempt, and one that overtook another would make
// an attempt end before it has started.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	closed bool
	// ready holds a value while there are events.
	ready chan struct{}
}

// newEventQueue returns an empty queue.
func newEventQueue() *eventQueue {
	return &eventQueue{ready: make(chan struct{}, 1)}
}

// add adds an event and reports whether the queue is open.
func (q *eventQueue) add(e event) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.events = append(q.events, e)
	q.signal()
	return true
}

// next removes the first event. It returns false if there is none. It is called after a receive from ready.
func (q *eventQueue) next() (event, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return event{}, false
	}
	first := q.events[0]
	q.events = q.events[1:]
	if len(q.events) > 0 {
		q.signal()
	}
	return first, true
}

// close returns the events that were not handled. Later ones are not taken.
func (q *eventQueue) close() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	rest := q.events
	q.events, q.closed = nil, true
	return rest
}

// signal fills ready. The caller must hold q.mu.
func (q *eventQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
