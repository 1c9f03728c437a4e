package healthsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/balancer"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// tickEvery is the time between two looks at a guard, as in the permits client.
const tickEvery = 50 * time.Millisecond

// world is one run.
type world struct {
	timeline
	deployment Deployment
	scenario   Scenario
	policy     Policy
	random     *rand.Rand
	hosts      []*host
	homes      map[id.ServiceName]*ejection.Home
	attempts   uint64
	result     Result
}

// newWorld builds the fleet; all hosts know each other.
func newWorld(d Deployment, s Scenario, p Policy, seed uint64) *world {
	w := &world{
		deployment: d,
		scenario:   s,
		policy:     p,
		random:     rand.New(rand.NewPCG(seed, 7)),
		homes:      make(map[id.ServiceName]*ejection.Home),
		result:     Result{Suspected: -1, Ejected: -1},
	}
	for i := range d.TargetsPerService * len(d.Services) {
		w.addHost(i, seed)
	}
	for _, service := range d.Services {
		w.homes[service] = ejection.NewHome(true, 0)
	}
	records := membership.Push{}
	for _, h := range w.hosts {
		records.Records = append(records.Records, membership.Update{Record: h.table.Self()})
	}
	for _, h := range w.hosts {
		h.table.HandlePush(records, 0)
	}
	return w
}

// addHost adds host i; the targets of a service are spread over the failure domains.
func (w *world) addHost(i int, seed uint64) {
	d := w.deployment
	h := &host{
		index:       i,
		name:        id.HostID(fmt.Sprintf("host-%02d", i)),
		domain:      d.Domains[i%len(d.Domains)],
		service:     d.Services[i/d.TargetsPerService],
		suspectedAt: -1,
		ejectedAt:   -1,
	}
	h.target = id.TargetID{Host: h.name, Name: "t"}
	h.victim = i == 0 && w.scenario.hasVictim()
	h.guard = w.policy.newGuard(h.target, h.service)
	h.table = membership.NewTable(membership.Config{
		Self: h.name, FailureDomain: h.domain, Incarnation: 1, Seed: seed + uint64(i),
	}, 0)
	h.table.Confirm()
	h.balancer = balancer.New(balancer.Config{Host: h.name, FailureDomain: h.domain, Seed: seed + uint64(i)})
	w.hosts = append(w.hosts, h)
	w.publish(h)
}

// clock is the time as all hosts read it.
func (w *world) clock() clock.Time { return clock.Time(w.now) }

// oneWay is the latency between two hosts.
func (w *world) oneWay(a, b *host) time.Duration {
	switch {
	case a == b:
		return 0
	case a.domain == b.domain:
		return w.deployment.OneWay / 4
	}
	return w.deployment.OneWay
}

// host returns a host by name.
func (w *world) host(name id.HostID) *host {
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// exponential draws a time with the given mean.
func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// serviceTime draws a log-normal time whose mean is the deployment's service time.
func (w *world) serviceTime() time.Duration {
	const sigma = 0.5
	return time.Duration(float64(w.deployment.ServiceTime) * math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2))
}

// start schedules everything that repeats.
func (w *world) start() {
	for _, h := range w.hosts {
		w.after(time.Duration(w.random.Int64N(int64(membership.DefaultPeriod))), func() { w.gossip(h) })
		w.after(time.Duration(w.random.Int64N(int64(tickEvery))), func() { w.tick(h) })
	}
	for _, service := range w.deployment.Services {
		w.arrive(service)
	}
}

// Run simulates one run.
func Run(d Deployment, s Scenario, p Policy, seed uint64) Result {
	w := newWorld(d, s, p, seed)
	w.start()
	w.run(runTime)
	w.finish()
	return w.result
}
