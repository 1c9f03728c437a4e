package fairqueue_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fairqueue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// queueModel applies operations to a queue and tracks the expected contents in maps.
type queueModel struct {
	queue   *fairqueue.Queue
	config  fairqueue.Config
	now     clock.Time
	waiting map[fairqueue.Ticket]id.CustomerID
	gone    map[fairqueue.Ticket]bool
	weights map[id.CustomerID]int
	// gaps holds an entry for each pair of customers that are both backlogged.
	gaps map[[2]id.CustomerID]serviceGap
}

// serviceGap is the difference in normalized service between two customers since both
// became backlogged. It includes the extremes, because the fairness bound holds over
// every interval.
type serviceGap struct{ value, low, high float64 }

// add returns the gap after a change of the difference by step.
func (g serviceGap) add(step float64) serviceGap {
	value := g.value + step
	return serviceGap{value, min(g.low, value), max(g.high, value)}
}

// removeWaiting records that a request left the queue, and fails if it was not waiting.
func (m *queueModel) removeWaiting(t *rapid.T, ticket fairqueue.Ticket) id.CustomerID {
	customer, ok := m.waiting[ticket]
	if !ok {
		t.Fatalf("ticket %d left the queue twice or was never in it", ticket)
	}
	delete(m.waiting, ticket)
	m.gone[ticket] = true
	return customer
}

// recordService adds one served request to all gaps of the customer and checks the fairness bound.
func (m *queueModel) recordService(t *rapid.T, served id.CustomerID) {
	for other := range m.weights {
		if other == served {
			continue
		}
		step := 1 / float64(m.weights[served])
		pair, sign := [2]id.CustomerID{served, other}, 1.0
		if other < served {
			pair, sign = [2]id.CustomerID{other, served}, -1.0
		}
		if _, both := m.gaps[pair]; !both {
			continue
		}
		m.gaps[pair] = m.gaps[pair].add(sign * step)
	}
	m.checkFairness(t)
}

// checkFairness checks the gap of each pair against its bound.
func (m *queueModel) checkFairness(t *rapid.T) {
	for pair, difference := range m.gaps {
		bound := 1/float64(m.weights[pair[0]]) + 1/float64(m.weights[pair[1]])
		if difference.high-difference.low > bound+1e-3 {
			t.Fatalf("%v: normalized service differs by %v, bound %v", pair, difference, bound)
		}
	}
}

// updateGaps adds the pairs that became backlogged and removes those that are no longer
// backlogged. A customer that is being served counts as backlogged.
func (m *queueModel) updateGaps(served id.CustomerID) {
	backlogged := func(c id.CustomerID) bool { return c == served || m.queue.LenOf(c) > 0 }
	for a := range m.weights {
		for b := range m.weights {
			if a >= b {
				continue
			}
			pair := [2]id.CustomerID{a, b}
			_, known := m.gaps[pair]
			both := backlogged(a) && backlogged(b)
			switch {
			case both && !known:
				m.gaps[pair] = serviceGap{}
			case !both && known:
				delete(m.gaps, pair)
			}
		}
	}
}

// enqueue enqueues a request and updates the model with the outcome.
func (m *queueModel) enqueue(t *rapid.T, customer id.CustomerID, remaining time.Duration) {
	r := fairqueue.Request{Customer: customer, Weight: m.weights[customer], Remaining: remaining}
	ticket, shed, refusal := m.queue.Enqueue(m.now, r, 2*time.Millisecond)
	if shed != nil {
		m.removeWaiting(t, shed.Ticket)
	}
	if refusal == nil {
		m.waiting[ticket] = customer
	}
	m.updateGaps("")
}

// next takes a request from the queue and checks the fairness between backlogged
// customers.
func (m *queueModel) next(t *rapid.T) {
	ticket, found, shed := m.queue.Next(m.now, 2*time.Millisecond)
	for _, s := range shed {
		m.removeWaiting(t, s.Ticket)
	}
	if found {
		served := m.removeWaiting(t, ticket)
		m.updateGaps(served)
		m.recordService(t, served)
	}
	m.updateGaps("")
}

// check compares the queue's lengths with the model and the limits.
func (m *queueModel) check(t *rapid.T) {
	if m.queue.Len() != len(m.waiting) || m.queue.Len() > m.config.Limit {
		t.Fatalf("queue holds %d, expected %d, limit %d", m.queue.Len(), len(m.waiting), m.config.Limit)
	}
	for customer := range m.weights {
		if m.queue.LenOf(customer) > m.config.LimitPerCustomer {
			t.Fatalf("%s has %d waiting", customer, m.queue.LenOf(customer))
		}
	}
	if len(m.waiting) == 0 && m.queue.Flows() != 0 {
		t.Fatalf("empty queue keeps %d flows", m.queue.Flows())
	}
}

// TestQueueModel guards against lost or duplicated requests, exceeded limits,
// unfair service and state that is kept for customers when the queue is empty.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := fairqueue.Config{
			Limit:            rapid.IntRange(1, 40).Draw(t, "limit"),
			LimitPerCustomer: rapid.IntRange(1, 12).Draw(t, "per customer"),
		}
		m := &queueModel{
			queue: fairqueue.New(config), config: config,
			waiting: map[fairqueue.Ticket]id.CustomerID{}, gone: map[fairqueue.Ticket]bool{},
			weights: map[id.CustomerID]int{}, gaps: map[[2]id.CustomerID]serviceGap{},
		}
		customers := []id.CustomerID{"c0", "c1", "c2", "c3", "c4"}
		for _, customer := range customers {
			m.weights[customer] = rapid.IntRange(1, 5).Draw(t, "weight")
		}
		draw := func(t *rapid.T) id.CustomerID { return rapid.SampledFrom(customers).Draw(t, "customer") }
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				m.enqueue(t, draw(t), time.Duration(rapid.IntRange(1, 100).Draw(t, "ms"))*time.Millisecond)
			},
			"next": func(t *rapid.T) { m.next(t) },
			// Keeps some customers backlogged for a while.
			"contend": func(t *rapid.T) {
				some := []id.CustomerID{draw(t), draw(t), draw(t)}
				for range rapid.IntRange(1, 40).Draw(t, "served") {
					for _, customer := range some {
						if m.queue.LenOf(customer) < 2 {
							m.enqueue(t, customer, time.Minute)
						}
					}
					m.next(t)
				}
			},
			"remove": func(t *rapid.T) {
				ticket := fairqueue.Ticket(rapid.Uint64Range(1, 40).Draw(t, "ticket"))
				if m.queue.Remove(ticket) {
					m.removeWaiting(t, ticket)
				}
				m.updateGaps("")
			},
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}
