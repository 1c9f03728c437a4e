package ratesim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// run is the state of one simulation.
type run struct {
	scenario Scenario
	random   *rand.Rand
	events   events
	traffic  traffic
	policy   policy
	ideal    []bucket
	counts   []counts
	waits    []time.Duration
	lost     bool
}

// counts are the numbers of one customer's requests.
type counts struct {
	offered, within, admitted, wrongful int
}

// Simulate runs a scenario under a policy.
func Simulate(scenario Scenario, name PolicyName) Result {
	r := &run{
		scenario: scenario,
		random:   rand.New(rand.NewPCG(scenario.Seed, 7)),
		counts:   make([]counts, len(scenario.Customers)),
	}
	for _, c := range scenario.Customers {
		r.ideal = append(r.ideal, newBucket(c.Limit, 1))
	}
	switch name {
	case FixedShares:
		r.policy = newFixedPolicy(r)
	case Escrow:
		r.policy = newEscrowPolicy(r)
	default:
		r.policy = newGrantPolicy(r)
	}
	if scenario.LoseAt > 0 {
		r.events.schedule(WarmUp+scenario.LoseAt, r.lose)
		r.events.schedule(WarmUp+scenario.LoseAt+scenario.LostFor, r.replace)
	}
	for i := range scenario.Customers {
		r.arrive(i, WarmUp)
	}
	end := WarmUp + scenario.Duration
	r.events.runUntil(end + 2*maxWait)
	return r.result(name)
}

// homes returns the daemons that are homes of a customer.
func (r *run) homes(customer int) []int {
	count := min(r.scenario.Customers[customer].Limit.HomeCount(), r.scenario.Daemons)
	var out []int
	for i := 0; len(out) < count; i++ {
		d := scatter(customer, -1-i) % r.scenario.Daemons
		if !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// arrive schedules a customer's next request after the time, with exponential gaps.
func (r *run) arrive(customer int, after time.Duration) {
	rate := r.ideal[customer].rate * r.scenario.Load
	if rate <= 0 {
		return
	}
	at := after + time.Duration(r.random.ExpFloat64()/rate*float64(time.Second))
	if at > WarmUp+r.scenario.Duration {
		return
	}
	r.events.schedule(at, func() {
		r.request(customer)
		r.arrive(customer, at)
	})
}

// request offers one request to the policy.
func (r *run) request(customer int) {
	start := r.events.now
	daemon := r.scenario.Pattern.daemon(r.random, start, customer, r.scenario.Daemons)
	if r.lost && daemon == 0 {
		daemon = 1 + r.random.IntN(r.scenario.Daemons-1)
	}
	within := r.ideal[customer].take(start)
	c := &r.counts[customer]
	c.offered++
	if within {
		c.within++
	}
	r.policy.request(daemon, customer, func(admitted bool) {
		switch {
		case admitted:
			c.admitted++
			r.waits = append(r.waits, r.events.now-start)
		case within:
			c.wrongful++
		}
	})
}

// lose stops daemon 0; its callers go elsewhere.
func (r *run) lose() {
	r.lost = true
	r.policy.lose()
}

// replace starts daemon 0 anew.
func (r *run) replace() {
	r.lost = false
	r.policy.replace()
}

// result sums up.
func (r *run) result(name PolicyName) Result {
	out := Result{Scenario: r.scenario.String(), Policy: name, Seed: r.scenario.Seed}
	for _, c := range r.counts {
		out.Offered += c.offered
		out.Within += c.within
		out.Admitted += c.admitted
		out.Wrongful += c.wrongful
		if c.within >= minWorst {
			out.WorstPercent = max(out.WorstPercent, percent(c.wrongful, c.within))
		}
	}
	out.WrongfulPercent = percent(out.Wrongful, out.Within)
	out.ShortPercent = percent(out.Within-out.Admitted, out.Within)
	perDaemon := r.scenario.Duration.Seconds() * float64(r.scenario.Daemons)
	out.MessagesPerSecond = float64(r.traffic.messages) / perDaemon
	out.BytesPerSecond = float64(r.traffic.bytes) / perDaemon
	out.P99WaitMs = milliseconds(quantile(r.waits, 0.99))
	waited := 0
	for _, w := range r.waits {
		if w > 0 {
			waited++
		}
	}
	out.WaitedPercent = percent(waited, len(r.waits))
	return out
}
