package ratesim

// fixedPolicy gives every daemon an equal part of every limit.
type fixedPolicy struct {
	run     *run
	buckets [][]bucket
}

// newFixedPolicy divides all limits.
func newFixedPolicy(r *run) policy {
	p := &fixedPolicy{run: r}
	for _, c := range r.scenario.Customers {
		row := make([]bucket, r.scenario.Daemons)
		for d := range row {
			row[d] = newBucket(c.Limit, 1/float64(r.scenario.Daemons))
		}
		p.buckets = append(p.buckets, row)
	}
	return p
}

// request implements policy.
func (p *fixedPolicy) request(daemon, customer int, finish func(bool)) {
	b := &p.buckets[customer][daemon]
	if b.take(p.run.events.now) {
		finish(true)
		return
	}
	b.settle(p.run.events.now)
	at := p.run.events.now + maxWait
	p.run.events.schedule(at, func() { finish(b.take(at)) })
}

// lose implements policy.
func (p *fixedPolicy) lose() {}

// replace implements policy.
func (p *fixedPolicy) replace() {
	for i := range p.buckets {
		b := &p.buckets[i][0]
		b.level, b.last = 0, p.run.events.now
	}
}
