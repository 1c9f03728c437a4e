package ratesim

// escrowAttempts is how many holders a daemon asks for one request.
const escrowAttempts = 3

// escrowMessageBytes is the assumed size of an escrow message without overhead.
const escrowMessageBytes = 40

// escrowPolicy moves parts of a customer's rate, burst and level between
// daemons: a daemon without a token gets half of what the fullest holder has.
// Knowing the fullest holder costs nothing here, which favours this policy.
// The part of a lost daemon stays lost.
type escrowPolicy struct {
	run     *run
	holders []map[int]*bucket
	lost    bool
}

// newEscrowPolicy starts with the same division over homes as token grants have.
func newEscrowPolicy(r *run) policy {
	p := &escrowPolicy{run: r}
	for i, c := range r.scenario.Customers {
		row := map[int]*bucket{}
		homes := r.homes(i)
		for _, d := range homes {
			b := newBucket(c.Limit, 1/float64(len(homes)))
			row[d] = &b
		}
		p.holders = append(p.holders, row)
	}
	return p
}

// request implements policy.
func (p *escrowPolicy) request(daemon, customer int, finish func(bool)) {
	p.attempt(daemon, customer, escrowAttempts, finish)
}

// attempt spends a token or asks the fullest holder.
func (p *escrowPolicy) attempt(daemon, customer, attempts int, finish func(bool)) {
	own := p.holders[customer][daemon]
	if own == nil {
		own = &bucket{last: p.run.events.now}
		p.holders[customer][daemon] = own
	}
	if own.take(p.run.events.now) {
		finish(true)
		return
	}
	from := p.fullest(daemon, customer)
	if attempts == 0 || from < 0 {
		finish(false)
		return
	}
	latency := p.run.scenario.Latency
	p.run.traffic.add(escrowMessageBytes)
	p.run.events.schedule(p.run.events.now+latency, func() {
		moved := p.halve(customer, from)
		p.run.traffic.add(escrowMessageBytes)
		p.run.events.schedule(p.run.events.now+latency, func() {
			own.settle(p.run.events.now)
			own.rate += moved.rate
			own.burst += moved.burst
			own.level = min(own.level+moved.level, own.burst)
			p.attempt(daemon, customer, attempts-1, finish)
		})
	})
}

// fullest returns the other daemon with the most tokens, or -1. Ties go to the lowest number.
func (p *escrowPolicy) fullest(daemon, customer int) int {
	best, level := -1, 0.0
	for d, b := range p.holders[customer] {
		if d == daemon || (d == 0 && p.lost) {
			continue
		}
		b.settle(p.run.events.now)
		if b.level > level || (b.level == level && d < best) {
			best, level = d, b.level
		}
	}
	return best
}

// halve takes half of what a holder has.
func (p *escrowPolicy) halve(customer, from int) bucket {
	b := p.holders[customer][from]
	b.settle(p.run.events.now)
	b.rate, b.burst, b.level = b.rate/2, b.burst/2, b.level/2
	return *b
}

// lose implements policy.
func (p *escrowPolicy) lose() { p.lost = true }

// replace implements policy.
func (p *escrowPolicy) replace() {
	p.lost = false
	for _, row := range p.holders {
		delete(row, 0)
	}
}
