package ratesim

import (
	"fmt"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

const (
	// callTimeout is how long an entry waits for a home.
	callTimeout = 50 * time.Millisecond
	// successorFence is the time before a replaced home refills.
	successorFence = 10500 * time.Millisecond
)

// grantPolicy drives the decisions of package ratelimit.
type grantPolicy struct {
	run     *run
	names   []id.HostID
	index   map[id.HostID]int
	keys    []id.CustomerID
	numbers map[id.CustomerID]int
	daemons []*grantDaemon
	lost    bool
}

// grantDaemon is the entry and the home of one daemon.
type grantDaemon struct {
	policy  *grantPolicy
	number  int
	home    *ratelimit.Home
	entry   *ratelimit.Entry
	waiting map[uint64]func(bool)
	// timer is when the next Tick is scheduled; zero means not.
	timer clock.Time
}

// newGrantPolicy starts all daemons.
func newGrantPolicy(r *run) policy {
	p := &grantPolicy{run: r, index: map[id.HostID]int{}, numbers: map[id.CustomerID]int{}}
	for d := range r.scenario.Daemons {
		p.names = append(p.names, id.HostID(fmt.Sprintf("host-%03d", d)))
		p.index[p.names[d]] = d
	}
	for i := range r.scenario.Customers {
		p.keys = append(p.keys, id.CustomerID(fmt.Sprintf("customer-%05d", i)))
		p.numbers[p.keys[i]] = i
	}
	for d := range r.scenario.Daemons {
		p.daemons = append(p.daemons, p.start(d, ratelimit.NewHome(1, p, p.now())))
	}
	r.events.schedule(0, p.tick)
	return p
}

// start returns a daemon with a home that has all its shares.
func (p *grantPolicy) start(number int, home *ratelimit.Home) *grantDaemon {
	for i, c := range p.run.scenario.Customers {
		homes := p.run.homes(i)
		for j, d := range homes {
			if d == number {
				share := ratelimit.NewShare(c.Limit, j, len(homes), 1)
				share.First = true
				home.Assign(p.now(), p.keys[i], share)
			}
		}
	}
	d := &grantDaemon{policy: p, number: number, home: home, waiting: map[uint64]func(bool){}}
	d.entry = ratelimit.NewEntry(ratelimit.EntryConfig{
		Self: p.names[number], Placement: p, Local: home, MaxWait: maxWait,
	})
	return d
}

// tick looks at all duties.
func (p *grantPolicy) tick() {
	for _, d := range p.daemons {
		d.home.Tick(p.now())
	}
	p.run.events.schedule(p.run.events.now+ratelimit.TickPeriod, p.tick)
}

// now returns the simulated time; all clocks agree.
func (p *grantPolicy) now() clock.Time { return clock.Time(p.run.events.now) }

// Confirmed implements ratelimit.Duty.
func (p *grantPolicy) Confirmed(clock.Time) bool { return true }

// Settled implements ratelimit.Duty.
func (p *grantPolicy) Settled(catalogue.Revision, clock.Time) bool { return true }

// Version implements ratelimit.Placement.
func (p *grantPolicy) Version() uint64 { return 1 }

// Limit implements ratelimit.Placement.
func (p *grantPolicy) Limit(customer id.CustomerID) ratelimit.Limit {
	return p.run.scenario.Customers[p.numbers[customer]].Limit
}

// Homes implements ratelimit.Placement.
func (p *grantPolicy) Homes(customer id.CustomerID) []id.HostID {
	var out []id.HostID
	for _, d := range p.run.homes(p.numbers[customer]) {
		out = append(out, p.names[d])
	}
	return out
}

// request implements policy.
func (p *grantPolicy) request(daemon, customer int, finish func(bool)) {
	d := p.daemons[daemon]
	switch decision := d.entry.Admit(p.now(), p.keys[customer]); decision.Outcome {
	case ratelimit.Admitted:
		finish(true)
	case ratelimit.Refused:
		finish(false)
	default:
		d.waiting[decision.Waiter] = finish
	}
	d.carryOut()
}

// lose implements policy.
func (p *grantPolicy) lose() { p.lost = true }

// replace implements policy.
func (p *grantPolicy) replace() {
	p.lost = false
	p.daemons[0] = p.start(0, ratelimit.NewSuccessor(2, p, p.now().Add(successorFence)))
}

// carryOut sends the entry's calls and ends waits.
func (d *grantDaemon) carryOut() {
	out := d.entry.Outbox()
	for _, r := range out.Resolved {
		finish := d.waiting[r.Waiter]
		delete(d.waiting, r.Waiter)
		finish(r.Denied == nil)
	}
	for _, c := range out.Calls {
		d.send(c)
	}
	due, any := d.entry.NextDue()
	if !any || (d.timer > 0 && d.timer <= due) {
		return
	}
	d.timer = due
	d.policy.run.events.schedule(time.Duration(due), func() {
		if d.timer != due {
			return
		}
		d.timer = 0
		d.entry.Tick(d.policy.now())
		d.carryOut()
	})
}

// send carries a call to its home and the reply back.
func (d *grantDaemon) send(c ratelimit.Call) {
	p := d.policy
	events, latency := &p.run.events, p.run.scenario.Latency
	p.run.traffic.add(requestBytes(c.Request))
	home := p.index[c.Home]
	if home == 0 && p.lost {
		events.schedule(events.now+callTimeout, func() {
			d.entry.HandleFailure(p.now(), c.Request.Customer, c.Home, c.Request.ID)
			d.carryOut()
		})
		return
	}
	events.schedule(events.now+latency, func() {
		reply := p.daemons[home].home.Exchange(p.now(), c.Request)
		p.run.traffic.add(replyBytes(reply))
		events.schedule(events.now+latency, func() {
			d.entry.HandleReply(p.now(), c.Request.Customer, c.Home, reply)
			d.carryOut()
		})
	})
}
