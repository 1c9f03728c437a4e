package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

const (
	hosts        = 6
	customer     = id.CustomerID("c")
	tick         = 5 * time.Millisecond
	confirmation = 10 * time.Second
	fence        = 10500 * time.Millisecond
	callTimeout  = 100 * time.Millisecond
	// supersededLifetime is how long a revision can still be used after a majority
	// has received its successor.
	supersededLifetime = 12400 * time.Millisecond
)

// defect is a mechanism that a simulation leaves out to show that its check fails then.
type defect int

const (
	noDefect defect = iota
	outstandingNotCounted
	epochStartsFull
	epochWithoutFence
)

// revision is a limit with the time at which a majority had received it.
type revision struct {
	limit    ratelimit.Limit
	majority time.Duration
}

// message is a request to a host or a reply to a daemon.
type message struct {
	at    time.Duration
	host  id.HostID
	from  *daemon
	call  ratelimit.Call
	reply *ratelimit.Reply
}

// call is a request with the deadline for its reply.
type call struct {
	ratelimit.Call
	deadline time.Duration
}

// simulation runs daemons and a faulty network in simulated time and checks every
// admission against the bound. All randomness comes from one seed.
type simulation struct {
	random    *rand.Rand
	defect    defect
	now       time.Duration
	revisions []revision
	daemons   []*daemon
	// owners holds the daemon with the highest epoch of each host.
	owners   [hosts]*daemon
	messages []message
	// loss and duplication are the probabilities of dropped and duplicated messages.
	loss, duplication float64
	// maxLatency is the upper end of the uniformly distributed message delay.
	maxLatency time.Duration
	windows    windowChecker
	admitted   int
	failure    string
}

// newSimulation starts one daemon per host.
func newSimulation(seed uint64, limit ratelimit.Limit, d defect) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), defect: d, maxLatency: 20 * time.Millisecond}
	s.revisions = []revision{{limit: limit}}
	for i := range hosts {
		s.start(i, 1)
	}
	return s
}

// bound returns the largest limit that any home can still apply.
func (s *simulation) bound() ratelimit.Limit {
	limit := s.revisions[len(s.revisions)-1].limit
	for i := len(s.revisions) - 2; i >= 0 && s.now < s.revisions[i+1].majority+supersededLifetime; i-- {
		limit.Rate = max(limit.Rate, s.revisions[i].limit.Rate)
		limit.Burst = max(limit.Burst, s.revisions[i].limit.Burst)
	}
	return limit
}

// admit counts an admission and checks all windows that end now.
func (s *simulation) admit() {
	s.admitted++
	over := s.windows.admit(s.now, s.bound())
	if over > 1e-6 && s.failure == "" {
		s.failure = fmt.Sprintf("at %v: %v tokens above burst + rate*t", s.now, over)
	}
}

// change announces a new limit. A majority has it at once; a daemon receives it with
// its next confirmation.
func (s *simulation) change(limit ratelimit.Limit) {
	s.windows.advance(s.now, s.bound())
	s.revisions = append(s.revisions, revision{limit, s.now})
}

// start runs a new daemon on a host.
func (s *simulation) start(host int, epoch id.Epoch) {
	d := newDaemon(s, host, epoch)
	s.daemons = append(s.daemons, d)
	s.owners[host] = d
	d.confirm()
}

// send sends a message, which may be lost, delayed or duplicated.
func (s *simulation) send(m message) {
	for s.random.Float64() >= s.loss {
		m.at = s.now + time.Duration(s.random.Int64N(int64(s.maxLatency)))
		s.messages = append(s.messages, m)
		if s.random.Float64() >= s.duplication {
			return
		}
	}
}

// deliver delivers the messages that are due. A request may still reach a daemon
// that was replaced.
func (s *simulation) deliver() {
	var kept, due []message
	for _, m := range s.messages {
		if m.at <= s.now {
			due = append(due, m)
			continue
		}
		kept = append(kept, m)
	}
	s.messages = kept
	for _, m := range due {
		if m.reply != nil {
			m.from.accept(m)
			continue
		}
		var at []*daemon
		for _, d := range s.daemons {
			if d.host == m.host {
				at = append(at, d)
			}
		}
		at[s.random.IntN(len(at))].accept(m)
	}
}

// run simulates a duration d. Each daemon gets its rate in requests per second.
func (s *simulation) run(d time.Duration, rate [hosts]int) {
	for end := s.now + d; s.now < end && s.failure == ""; s.now += tick {
		s.windows.advance(s.now, s.bound())
		s.deliver()
		for _, d := range s.daemons {
			d.tick()
			if s.random.Float64() < float64(rate[d.index])*tick.Seconds() {
				d.request()
			}
		}
	}
}

// revisionAt returns the revision with number r.
func (s *simulation) revisionAt(r catalogue.Revision) revision {
	return s.revisions[r]
}

// localTime converts simulated time to the reading of a drifting clock.
func localTime(now time.Duration, drift float64) clock.Time {
	return clock.Time(float64(now)*(1+drift)) + 1
}
