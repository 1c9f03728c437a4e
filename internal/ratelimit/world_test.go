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
	// influence is how long after its majority a revision's predecessor can be used.
	influence = 12400 * time.Millisecond
)

// weakness is a mechanism that a world leaves out to show that its check notices.
type weakness int

const (
	none weakness = iota
	outstandingForgotten
	epochStartsFull
	epochWithoutFence
)

// revision is a limit with the time at which a majority knew it.
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

// call is a request without a reply so far.
type call struct {
	ratelimit.Call
	deadline time.Duration
}

// world runs daemons and a faulty network in real time and checks every
// admission against the bound. All randomness comes from one seed.
type world struct {
	random    *rand.Rand
	weakness  weakness
	now       time.Duration
	revisions []revision
	daemons   []*daemon
	// owners is the daemon with the highest epoch of each host.
	owners   [hosts]*daemon
	messages []message
	// loss and repeat are the probabilities of dropped and duplicated messages.
	loss, repeat float64
	slowest      time.Duration
	windows      windows
	admitted     int
	failure      string
}

// newWorld starts one daemon per host.
func newWorld(seed uint64, limit ratelimit.Limit, w weakness) *world {
	world := &world{random: rand.New(rand.NewPCG(seed, 1)), weakness: w, slowest: 20 * time.Millisecond}
	world.revisions = []revision{{limit: limit}}
	for i := range hosts {
		world.start(i, 1)
	}
	return world
}

// bound returns the largest limit that can be in force.
func (w *world) bound() ratelimit.Limit {
	limit := w.revisions[len(w.revisions)-1].limit
	for i := len(w.revisions) - 2; i >= 0 && w.now < w.revisions[i+1].majority+influence; i-- {
		limit.Rate = max(limit.Rate, w.revisions[i].limit.Rate)
		limit.Burst = max(limit.Burst, w.revisions[i].limit.Burst)
	}
	return limit
}

// admit counts an admission and checks all windows that end now.
func (w *world) admit() {
	w.admitted++
	over := w.windows.admit(w.now, w.bound())
	if over > 1e-6 && w.failure == "" {
		w.failure = fmt.Sprintf("at %v: %v tokens above burst + rate*t", w.now, over)
	}
}

// change announces a new limit. A majority knows it at once; a daemon hears of
// it with its next confirmation.
func (w *world) change(limit ratelimit.Limit) {
	w.windows.advance(w.now, w.bound())
	w.revisions = append(w.revisions, revision{limit, w.now})
}

// start runs a new daemon on a host.
func (w *world) start(host int, epoch id.Epoch) {
	d := newDaemon(w, host, epoch)
	w.daemons = append(w.daemons, d)
	w.owners[host] = d
	d.confirm()
}

// send puts a message on the network, possibly lost, late or twice.
func (w *world) send(m message) {
	for w.random.Float64() >= w.loss {
		m.at = w.now + time.Duration(w.random.Int64N(int64(w.slowest)))
		w.messages = append(w.messages, m)
		if w.random.Float64() >= w.repeat {
			return
		}
	}
}

// deliver hands over the messages whose time has come. A request may still
// reach a daemon that was replaced.
func (w *world) deliver() {
	var kept, due []message
	for _, m := range w.messages {
		if m.at <= w.now {
			due = append(due, m)
			continue
		}
		kept = append(kept, m)
	}
	w.messages = kept
	for _, m := range due {
		if m.reply != nil {
			m.from.accept(m)
			continue
		}
		var at []*daemon
		for _, d := range w.daemons {
			if d.host == m.host {
				at = append(at, d)
			}
		}
		at[w.random.IntN(len(at))].accept(m)
	}
}

// run lets time pass. Each daemon gets requests at the rate in requests per second.
func (w *world) run(d time.Duration, rate [hosts]int) {
	for end := w.now + d; w.now < end && w.failure == ""; w.now += tick {
		w.windows.advance(w.now, w.bound())
		w.deliver()
		for _, d := range w.daemons {
			d.tick()
			if w.random.Float64() < float64(rate[d.index])*tick.Seconds() {
				d.request()
			}
		}
	}
}

// revisionAt returns the limit of a revision.
func (w *world) revisionAt(r catalogue.Revision) revision {
	return w.revisions[r]
}

// reading converts real time to a drifting clock.
func reading(now time.Duration, drift float64) clock.Time {
	return clock.Time(float64(now)*(1+drift)) + 1
}
