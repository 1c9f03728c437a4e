package ratesim

import (
	"math/rand/v2"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fairqueue"
)

const (
	queueCustomers = 8
	// queueRate is each customer's rate in requests/s; all together use 80% of the slots.
	queueRate = 25.0
	// queueGreed is by how much customer 0 exceeds its rate.
	queueGreed = 10
	queueSlots = 5
	// queueService is the mean service time; it is distributed exponentially.
	queueService     = 20 * time.Millisecond
	queueLimit       = 200
	queuePerCustomer = 100
	queueRemaining   = time.Second
	queueDuration    = 120 * time.Second
)

// queueRequest is a simulated request.
type queueRequest struct {
	customer int
	arrived  time.Duration
}

// queueRun is the state of one queue simulation.
type queueRun struct {
	random   *rand.Rand
	events   events
	queue    queue
	requests []queueRequest
	busy     int
	shed     int
	sent     [queueCustomers]int
	done     [queueCustomers]int
	waits    [queueCustomers][]time.Duration
}

// SimulateQueue lets one customer send ten times its rate beside seven that
// stay within theirs, before one gate with five slots.
func SimulateQueue(discipline Discipline, seed uint64) QueueResult {
	r := &queueRun{random: rand.New(rand.NewPCG(seed, 11))}
	r.queue = &fifoQueue{limit: queueLimit}
	if discipline == Fair {
		config := fairqueue.Config{Limit: queueLimit, LimitPerCustomer: queuePerCustomer}
		r.queue = &fairQueue{queue: fairqueue.New(config), numbers: map[fairqueue.Ticket]int{}}
	}
	for c := range queueCustomers {
		r.arrive(c)
	}
	r.events.runUntil(queueDuration + queueRemaining)
	return r.result(discipline, seed)
}

// arrive schedules a customer's next request.
func (r *queueRun) arrive(customer int) {
	rate := queueRate
	if customer == 0 {
		rate *= queueGreed
	}
	at := r.events.now + time.Duration(r.random.ExpFloat64()/rate*float64(time.Second))
	if at > queueDuration {
		return
	}
	r.events.schedule(at, func() {
		number := len(r.requests)
		r.requests = append(r.requests, queueRequest{customer, at})
		r.sent[customer]++
		added, shed := r.queue.enqueue(at, number, customer, queueRemaining)
		if !added || shed >= 0 {
			r.shed++
		}
		r.dispatch()
		r.arrive(customer)
	})
}

// dispatch fills the free slots.
func (r *queueRun) dispatch() {
	for r.busy < queueSlots {
		number, shed := r.queue.next(r.events.now)
		r.shed += len(shed)
		if number < 0 {
			return
		}
		r.busy++
		q := r.requests[number]
		r.done[q.customer]++
		r.waits[q.customer] = append(r.waits[q.customer], r.events.now-q.arrived)
		service := time.Duration(r.random.ExpFloat64() * float64(queueService))
		r.events.schedule(r.events.now+service, func() {
			r.busy--
			r.dispatch()
		})
	}
}

// result sums up.
func (r *queueRun) result(discipline Discipline, seed uint64) QueueResult {
	out := QueueResult{Discipline: discipline, Seed: seed, Shed: r.shed, WorstSharePercent: 100}
	for c := range queueCustomers {
		share, p99 := percent(r.done[c], r.sent[c]), milliseconds(quantile(r.waits[c], 0.99))
		if c == 0 {
			out.GreedySharePercent, out.GreedyP99Ms = share, p99
			continue
		}
		out.WorstSharePercent = min(out.WorstSharePercent, share)
		out.WorstP99Ms = max(out.WorstP99Ms, p99)
	}
	return out
}
