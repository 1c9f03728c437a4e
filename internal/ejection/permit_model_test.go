package ejection_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// gateNode is one gate with one target.
type gateNode struct {
	target      id.TargetID
	incarnation id.Incarnation
	judge       *ejection.Detector
	rate        float64
	announced   bool
}

// message is a request, a reply or a release in flight between a gate and the home.
type message struct {
	gate        int
	incarnation id.Incarnation
	request     *ejection.Request
	reply       *ejection.Reply
	release     *ejection.Release
}

// permitSystem is one service with its gates, its home and the network between them.
type permitSystem struct {
	now      time.Duration
	gates    []*gateNode
	home     *ejection.Home
	messages []message
	attempts uint64
	floor    float64
	// ejections counts the steps after which a target was ejected.
	ejections int
	// sizes lists the numbers of announced targets over time.
	sizes []sizeAt
}

type sizeAt struct {
	n     int
	since time.Duration
}

// homeRate makes the home's clock run faster than the gates' clocks.
const homeRate = 1.02

func (s *permitSystem) homeClock() clock.Time { return clock.Time(float64(s.now) * homeRate) }

func (s *permitSystem) gateClock(g *gateNode) clock.Time { return clock.Time(float64(s.now) * g.rate) }

func (s *permitSystem) startGate(i int) {
	g := s.gates[i]
	g.incarnation++
	g.judge = ejection.NewDetector(ejection.Holder{Host: g.target.Host, Incarnation: g.incarnation}, ejection.DefaultPolicy())
	if g.announced {
		g.judge.Announce(g.target, "s", s.gateClock(g))
	}
	// The peers' records are stale and look healthy, so that only the home enforces the floor.
	var peers []ejection.Peer
	for _, other := range s.gates {
		if other != g {
			peers = append(peers, ejection.Peer{Target: other.target, Latency: time.Millisecond})
		}
	}
	g.judge.SetPeers("s", peers)
}

// announcedTargets returns the number of announced targets.
func (s *permitSystem) announcedTargets() (n int) {
	for _, g := range s.gates {
		if g.announced {
			n++
		}
	}
	return n
}

// recordSize records the current number of announced targets.
func (s *permitSystem) recordSize() {
	s.sizes = append(s.sizes, sizeAt{s.announcedTargets(), s.now})
}

// allowed returns the limit on ejections for the largest number of targets within the last lease.
func (s *permitSystem) allowed() int {
	n := 0
	for i, size := range s.sizes {
		recent := i == len(s.sizes)-1 || s.now-s.sizes[i+1].since < ejection.HomeLease
		if recent {
			n = max(n, size.n)
		}
	}
	return ejection.Limit(n, s.floor)
}

// collect sends a judge's due requests and releases.
func (s *permitSystem) collect(i int) {
	g := s.gates[i]
	for _, r := range g.judge.Requests(s.gateClock(g)) {
		s.messages = append(s.messages, message{gate: i, incarnation: g.incarnation, request: &r})
	}
	for _, r := range g.judge.Releases() {
		s.messages = append(s.messages, message{gate: i, incarnation: g.incarnation, release: &r})
	}
}

func (s *permitSystem) deliver(m message) {
	g := s.gates[m.gate]
	switch {
	case m.request != nil:
		reply := s.home.Handle(*m.request, s.announcedTargets(), s.floor, s.homeClock())
		s.messages = append(s.messages, message{gate: m.gate, incarnation: m.incarnation, reply: &reply})
	case m.release != nil:
		s.home.Release(*m.release)
	case m.reply != nil && m.incarnation == g.incarnation:
		g.judge.HandleReply(*m.reply, s.gateClock(g))
	}
}

func (s *permitSystem) check(t *rapid.T) {
	var out []id.TargetID
	for _, g := range s.gates {
		g.judge.Tick(s.gateClock(g))
		if g.announced && !g.judge.Eligible(g.target, s.gateClock(g)).Admit || g.judge.EjectedUnderPermit(g.target, s.gateClock(g)) {
			out = append(out, g.target)
		}
	}
	s.ejections += len(out)
	if len(out) > s.allowed() {
		t.Fatalf("%d targets are ejected at %v, %d allowed: %v", len(out), s.now, s.allowed(), out)
	}
}

// TestPermits guards against more ejections than the floor allows, while gates wrongly suspect targets,
// alone or at the same time, messages are lost, duplicated or delayed, the home and gates restart,
// targets leave and join, and clocks drift.
func TestPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &permitSystem{
			home:  ejection.NewHome(true, 0),
			floor: rapid.SampledFrom([]float64{0.5, 0.75}).Draw(t, "floor"),
		}
		for i := range 4 {
			s.gates = append(s.gates, &gateNode{
				target:    id.TargetID{Host: id.HostID(fmt.Sprintf("h%d", i)), Name: "t"},
				rate:      rapid.Float64Range(0.98, 1.02).Draw(t, "rate"),
				announced: true,
			})
		}
		for i := range s.gates {
			s.startGate(i)
		}
		s.recordSize()
		anyGate := rapid.IntRange(0, len(s.gates)-1)
		deliver := func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "count") {
				if len(s.messages) == 0 {
					return
				}
				at := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
				m := s.messages[at]
				if rapid.IntRange(0, 9).Draw(t, "duplicate") > 0 {
					s.messages = slices.Delete(s.messages, at, at+1)
				}
				s.deliver(m)
			}
		}
		wait := func(t *rapid.T) {
			s.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			for i := range s.gates {
				s.collect(i)
			}
		}
		deliverAll := func(*rapid.T) {
			for len(s.messages) > 0 {
				m := s.messages[0]
				s.messages = s.messages[1:]
				s.deliver(m)
			}
		}
		failSome := func(t *rapid.T) {
			i := anyGate.Draw(t, "gate")
			s.failAttempts(s.gates[i])
			s.collect(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"deliver": deliver, "deliver2": deliver, "deliverAll": deliverAll, "deliverAll2": deliverAll,
			"wait": wait, "wait2": wait, "wait3": wait, "wait4": wait,
			"attemptsFail": failSome, "attemptsFail2": failSome,
			"attemptsFailMany": func(t *rapid.T) {
				first := anyGate.Draw(t, "first")
				for n := range rapid.IntRange(2, 4).Draw(t, "count") {
					i := (first + n) % len(s.gates)
					s.failAttempts(s.gates[i])
					s.collect(i)
				}
			},
			"recover": func(t *rapid.T) {
				i := anyGate.Draw(t, "gate")
				s.completeAttempts(s.gates[i])
				s.collect(i)
			},
			"drop": func(t *rapid.T) {
				if len(s.messages) > 0 {
					at := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
					s.messages = slices.Delete(s.messages, at, at+1)
				}
			},
			"restartHome": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
					s.home = ejection.NewHome(false, s.homeClock())
				}
			},
			"restartGate": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					s.startGate(anyGate.Draw(t, "gate"))
				}
			},
			"leave": func(t *rapid.T) {
				g := s.gates[anyGate.Draw(t, "gate")]
				if rapid.IntRange(0, 3).Draw(t, "really") > 0 {
					return
				}
				g.judge.Withdraw(g.target, s.gateClock(g))
				g.announced = false
				s.recordSize()
			},
			"join": func(t *rapid.T) {
				g := s.gates[anyGate.Draw(t, "gate")]
				if !g.announced {
					g.announced = true
					g.judge.Announce(g.target, "s", s.gateClock(g))
					s.recordSize()
				}
			},
			"": s.check,
		})
	})
}
