package choose_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

// play simulates a service whose hosts lie in several failure domains. Each host has a gate and an entry, which follows
// the steps of the sessions of package entry.
type play struct {
	// hosts is the number of hosts of each domain, demand the requests a second that arrive there.
	hosts  []int
	demand func(domain int, at time.Duration) float64
	length time.Duration
	// today selects the constant penalty instead of package locality.
	today bool
	// lost tells whether a host cannot be reached, declines whether its gate suspects its target. Both may be nil.
	lost, declines func(host int, at time.Duration) bool
	// rejects is the share of the attempts that targets reject. It may be nil.
	rejects func(at time.Duration) float64

	// arrivals is used for nothing but the requests, so that all players of a seed meet the same ones.
	arrivals, random *rand.Rand
	now              clock.Time
	events           playEvents
	nodes            []*playNode
	nextID           slots.ID
	results          playResults
}

const (
	playSlots = 10
	// A request or answer takes oneWayInside or oneWayOutside.
	oneWayInside  = 500 * time.Microsecond
	oneWayOutside = 10 * time.Millisecond
	// refusedBytes and answeredBytes are those of one attempt.
	refusedBytes  = 700
	answeredBytes = 9500
)

// playClass is a kind of request.
type playClass struct {
	rank                     int
	work, objective, timeout time.Duration
	share                    float64
}

// playClasses are urgent short requests and patient long ones.
var playClasses = []playClass{
	{rank: 0, work: 580 * time.Millisecond, objective: 1500 * time.Millisecond, timeout: 4 * time.Second, share: 0.3},
	{rank: 2, work: 1800 * time.Millisecond, objective: 10 * time.Second, timeout: 15 * time.Second, share: 0.7},
}

// playCapacity is the number of requests that one host serves a second.
func playCapacity() float64 {
	work := 0.0
	for _, c := range playClasses {
		work += c.share * c.work.Seconds()
	}
	return playSlots / work
}

// playResults are what callers got and what was sent between domains.
type playResults struct {
	arrived, served, inTime [2]int
	waits                   [2]time.Duration
	// byDomain holds the numbers of requests of class 1 that arrived in each domain, and of those that were served.
	byDomain             [3][2]int
	bytes                int
	left, refusedOutside int
}

func (r playResults) String() string {
	line := fmt.Sprintf("%6.2f MB out, %5d left, %5d refused outside", float64(r.bytes)/1e6, r.left, r.refusedOutside)
	for i := range r.arrived {
		line += fmt.Sprintf("; class %d: served %.3f, in time %.3f, mean wait %v", i, r.served1(i), r.inTime1(i),
			(r.waits[i] / time.Duration(max(r.served[i], 1))).Round(time.Millisecond))
	}
	line += "; by domain"
	for domain := range r.byDomain {
		line += fmt.Sprintf(" %.3f", r.servedIn(domain))
	}
	return line
}

// servedIn returns the share of a domain's requests of class 1 that was served.
func (r playResults) servedIn(domain int) float64 {
	return float64(r.byDomain[domain][1]) / float64(max(r.byDomain[domain][0], 1))
}

// add adds the results of another play.
func (r playResults) add(o playResults) playResults {
	for i := range r.arrived {
		r.arrived[i] += o.arrived[i]
		r.served[i] += o.served[i]
		r.inTime[i] += o.inTime[i]
		r.waits[i] += o.waits[i]
	}
	for i := range r.byDomain {
		r.byDomain[i][0] += o.byDomain[i][0]
		r.byDomain[i][1] += o.byDomain[i][1]
	}
	r.bytes += o.bytes
	r.left += o.left
	r.refusedOutside += o.refusedOutside
	return r
}

func (r playResults) served1(class int) float64 {
	return float64(r.served[class]) / float64(r.arrived[class])
}

func (r playResults) inTime1(class int) float64 {
	return float64(r.inTime[class]) / float64(r.arrived[class])
}

// playNode is a host.
type playNode struct {
	index, domain int
	name          id.HostID
	gate          *slots.Admission
	chooser       *choose.Chooser
	waiting       map[slots.ID]func(run bool)
}

// playEvents are ordered by time.
type playEvents []playEvent

type playEvent struct {
	at   clock.Time
	call func()
}

func (e playEvents) Len() int           { return len(e) }
func (e playEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e playEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)        { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *play) after(d time.Duration, call func()) {
	heap.Push(&p.events, playEvent{p.now.Add(d), call})
}

const playStart = clock.Time(time.Hour)

// run plays the load.
func (p play) run(seed uint64) playResults {
	p.arrivals, p.random, p.now = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), playStart
	var records []roster.Record
	for domain, n := range p.hosts {
		for range n {
			name := id.HostID(fmt.Sprint("h", len(p.nodes)))
			r := host(name, id.FailureDomain(fmt.Sprint(domain)))
			r.Slots = playSlots
			records = append(records, r)
			node := &playNode{index: len(p.nodes), domain: domain, name: name, gate: slots.New(), waiting: map[slots.ID]func(bool){}}
			node.gate.Open(p.now, playSlots)
			node.gate.SetRepeatBudget(p.now, slots.RepeatBudget{Ratio: 0.15, Allowance: 6, Window: 10 * time.Second})
			p.nodes = append(p.nodes, node)
		}
	}
	for i, n := range p.nodes {
		n.chooser = choose.New(n.name, records[i].Domain, uint64(i))
		n.chooser.SetView(roster.NewView(records))
	}
	for domain := range p.hosts {
		p.arrive(domain)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.call()
	}
	return p.results
}

// arrive schedules the next request of a domain's callers.
func (p *play) arrive(domain int) {
	rate := p.demand(domain, p.now.Sub(playStart))
	p.after(time.Duration(p.arrivals.ExpFloat64()/max(rate, 0.1)*float64(time.Second)), func() {
		if p.now.Sub(playStart) >= p.length {
			return
		}
		var near []*playNode
		for _, n := range p.nodes {
			if n.domain == domain {
				near = append(near, n)
			}
		}
		class := 0
		if p.arrivals.Float64() > playClasses[0].share {
			class = 1
		}
		s := &playSession{play: p, entry: near[p.arrivals.IntN(len(near))], class: class, started: p.now, draw: p.arrivals.Float64()}
		p.results.arrived[class]++
		p.results.byDomain[domain][0] += class
		s.next()
		p.arrive(domain)
	})
}

// playSession is a request.
type playSession struct {
	*play
	entry                     *playNode
	class                     int
	started                   clock.Time
	draw                      float64
	tried, full, suspected    []id.HostID
	refusals, waits, arrivals int
	stayed                    bool
}

func (s *playSession) left() time.Duration {
	return s.started.Add(playClasses[s.class].timeout).Sub(s.now)
}

func (s *playSession) spare() time.Duration {
	return s.started.Add(playClasses[s.class].objective).Sub(s.now) - playClasses[s.class].work
}

// maxWait returns how long the request waits for a slot at most.
func (s *playSession) maxWait() time.Duration {
	return min(time.Duration(0.3*float64(s.left())), max(s.spare(), 500*time.Millisecond))
}

func (s *playSession) query() choose.Query {
	return choose.Query{
		Service: "walks", Exclude: s.tried, Refused: slices.Concat(s.full, s.suspected), Draw: s.draw,
		Patience: max(s.spare()/8, 0),
	}
}

// pick returns the host of the next attempt without queueing.
func (s *playSession) pick() (id.HostID, bool) {
	if !s.today {
		return s.entry.chooser.Pick(s.now, s.query())
	}
	var rest []id.HostID
	for _, n := range s.nodes {
		if !slices.Contains(s.tried, n.name) {
			rest = append(rest, n.name)
		}
	}
	return s.entry.chooser.PickByPenalty(s.now, rest)
}

// pickAmong returns the host at which the request waits or is forced.
func (s *playSession) pickAmong(now clock.Time, among []id.HostID) (id.HostID, bool) {
	if s.today {
		return s.entry.chooser.PickByPenalty(now, among)
	}
	return s.entry.chooser.PickAmong(now, among)
}

// next makes the next attempt.
func (s *playSession) next() {
	chooser := s.entry.chooser
	if s.left() <= 0 {
		return
	}
	if s.refusals < 3 && len(s.tried) < 8 {
		if name, ok := s.pick(); ok {
			s.tried = append(s.tried, name)
			s.attempt(name, 0, false)
			return
		}
	}
	wait := s.maxWait()
	if name, ok := s.pickAmong(s.now, s.full); ok && s.waits < 2 {
		s.full = slices.DeleteFunc(s.full, func(h id.HostID) bool { return h == name })
		limit, leaves := chooser.StayLimit(s.now, name, s.query())
		if s.today || s.stayed || !leaves {
			s.waits++
		} else {
			s.stayed, s.draw, s.refusals = true, 0, min(s.refusals, 1)
			if limit >= wait {
				s.waits++
			}
			wait = min(wait, limit)
		}
		s.attempt(name, wait, false)
		return
	}
	if name, ok := s.pickAmong(s.now, s.suspected); ok {
		s.suspected = slices.DeleteFunc(s.suspected, func(h id.HostID) bool { return h == name })
		s.attempt(name, wait, true)
	}
}

// finish ends the work of an attempt and passes the slot on.
func (p *play) finish(node *playNode, attempt slots.ID, outcome slots.Outcome) {
	for _, t := range node.gate.Done(p.now, attempt, outcome) {
		turn := node.waiting[t.ID]
		delete(node.waiting, t.ID)
		turn(t.Run)
	}
}

// attempt sends an attempt to a host.
func (s *playSession) attempt(name id.HostID, wait time.Duration, forced bool) {
	node := s.nodes[slices.IndexFunc(s.nodes, func(n *playNode) bool { return n.name == name })]
	outside := node.domain != s.entry.domain
	oneWay := oneWayInside
	if outside {
		oneWay = oneWayOutside
		s.results.left++
	}
	s.entry.chooser.Started(name)
	sent := s.now
	count := func(bytes int) {
		if outside {
			s.results.bytes += bytes
			if bytes == refusedBytes {
				s.results.refusedOutside++
			}
		}
	}
	end := func(o choose.Observation) {
		load := func() { o.Load.InUse, o.Load.Waiting, o.Load.Slots = node.gate.Load() }
		if load(); o.Kind != choose.Unreachable {
			o.LoadKnown = true
		}
		s.after(oneWay, func() {
			o.Took, o.Queued, o.MaxWait = s.now.Sub(sent), wait > 0, s.maxWait()
			s.entry.chooser.Finished(name)
			s.entry.chooser.Observe(s.now, name, o)
			if o.Kind != choose.Answered {
				s.next()
			}
		})
	}
	at := func() time.Duration { return s.now.Sub(playStart) }
	if s.lost != nil && outside && (s.lost(node.index, at()) || s.lost(s.entry.index, at())) {
		s.after(100*time.Millisecond, func() { end(choose.Observation{Kind: choose.Unreachable}) })
		return
	}
	s.after(oneWay, func() {
		if s.declines != nil && !forced && s.declines(node.index, at()) {
			count(refusedBytes)
			s.suspected = append(s.suspected, name)
			end(choose.Observation{Kind: choose.Declined, Backoff: 500 * time.Millisecond})
			return
		}
		s.nextID++
		attempt := s.nextID
		class := playClasses[s.class]
		run := func() {
			s.after(oneWay, func() {
				s.entry.chooser.Observe(s.now, name, choose.Observation{Kind: choose.Started, Took: s.now.Sub(sent), Queued: wait > 0})
			})
			if s.rejects != nil && s.random.Float64() < s.rejects(at()) {
				s.after(5*time.Millisecond, func() {
					count(refusedBytes)
					s.arrivals++
					s.finish(node, attempt, slots.Declined)
					end(choose.Observation{Kind: choose.Declined, Admitted: true})
				})
				return
			}
			s.results.waits[s.class] += s.now.Sub(s.started)
			work := time.Duration(float64(class.work) * (0.6 + 0.8*s.random.Float64()))
			s.after(work, func() {
				count(answeredBytes)
				s.finish(node, attempt, slots.Succeeded)
				s.results.served[s.class]++
				s.results.byDomain[s.entry.domain][1] += s.class
				if s.now.Add(oneWay).Sub(s.started) <= class.objective {
					s.results.inTime[s.class]++
				}
				end(choose.Observation{Kind: choose.Answered})
			})
		}
		refuse := func(expected time.Duration) {
			count(refusedBytes)
			s.refusals++
			s.full = append(s.full, name)
			end(choose.Observation{Kind: choose.Busy, Backoff: expected})
		}
		decision := node.gate.Admit(s.now, slots.Demand{
			ID: attempt, Route: id.RouteID(fmt.Sprint(s.class)), Rank: class.rank, Idempotent: true, Remaining: s.left(),
			Objective: s.spare() + class.work, MaxQueueWait: wait, Repeat: s.arrivals > 0, Forced: forced,
		})
		switch decision.Kind {
		case slots.Run:
			run()
		case slots.Refuse:
			switch decision.Reason {
			case slots.Full:
				refuse(decision.RetryAfter)
				return
			case slots.Suspected:
				s.suspected = append(s.suspected, name)
			}
			count(refusedBytes)
			kind := map[bool]choose.Kind{true: choose.Declined, false: choose.Busy}[decision.Reason == slots.Suspected]
			end(choose.Observation{Kind: kind, Backoff: decision.RetryAfter})
		case slots.Wait:
			node.waiting[attempt] = func(ok bool) {
				if ok {
					run()
				} else {
					refuse(0)
				}
			}
			s.after(wait, func() {
				if node.gate.Abandon(attempt) {
					delete(node.waiting, attempt)
					refuse(0)
				}
			})
		}
	})
}

// swing returns a factor between 0.5 and 1.5 with a period of 17 s, shifted for each domain.
func swing(domain int, at time.Duration) float64 {
	return 1 + 0.5*math.Sin(2*math.Pi*(at.Seconds()/17+float64(domain)/3))
}
