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
	judge       *ejection.Judge
	rate        float64
	announced   bool
}

// letter is a message under way between a gate and the home.
type letter struct {
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
	letters  []letter
	attempts uint64
	floor    float64
	// ejections counts the steps after which a target was ejected.
	ejections int
	// sizes are the numbers of announced targets and the times at which they began.
	sizes []sizeAt
}

type sizeAt struct {
	n    int
	from time.Duration
}

// homeRate makes the home's clock run faster than the gates' clocks.
const homeRate = 1.02

func (s *permitSystem) homeClock() clock.Time { return clock.Time(float64(s.now) * homeRate) }

func (s *permitSystem) gateClock(g *gateNode) clock.Time { return clock.Time(float64(s.now) * g.rate) }

func (s *permitSystem) startGate(i int) {
	g := s.gates[i]
	g.incarnation++
	g.judge = ejection.NewJudge(ejection.Holder{Host: g.target.Host, Incarnation: g.incarnation}, ejection.DefaultPolicy())
	if g.announced {
		g.judge.Announce(g.target, "s", s.gateClock(g))
	}
	// The records of the others are old and show nothing wrong, so that only the home protects the floor.
	var peers []ejection.Peer
	for _, other := range s.gates {
		if other != g {
			peers = append(peers, ejection.Peer{Target: other.target, Latency: time.Millisecond})
		}
	}
	g.judge.SetPeers("s", peers)
}

// announcedTargets counts the targets of the service.
func (s *permitSystem) announcedTargets() (n int) {
	for _, g := range s.gates {
		if g.announced {
			n++
		}
	}
	return n
}

// noteSize records the present number of targets.
func (s *permitSystem) noteSize() {
	s.sizes = append(s.sizes, sizeAt{s.announcedTargets(), s.now})
}

// allowed is the limit, counting targets that left within the last lease.
func (s *permitSystem) allowed() int {
	n := 0
	for i, size := range s.sizes {
		recent := i == len(s.sizes)-1 || s.now-s.sizes[i+1].from < ejection.HomeLease
		if recent {
			n = max(n, size.n)
		}
	}
	return ejection.Limit(n, s.floor)
}

// collect sends what a judge wants to send.
func (s *permitSystem) collect(i int) {
	g := s.gates[i]
	for _, r := range g.judge.Requests(s.gateClock(g)) {
		s.letters = append(s.letters, letter{gate: i, incarnation: g.incarnation, request: &r})
	}
	for _, r := range g.judge.Releases() {
		s.letters = append(s.letters, letter{gate: i, incarnation: g.incarnation, release: &r})
	}
}

func (s *permitSystem) deliver(l letter) {
	g := s.gates[l.gate]
	switch {
	case l.request != nil:
		reply := s.home.Handle(*l.request, s.announcedTargets(), s.floor, s.homeClock())
		s.letters = append(s.letters, letter{gate: l.gate, incarnation: l.incarnation, reply: &reply})
	case l.release != nil:
		s.home.Release(*l.release)
	case l.reply != nil && l.incarnation == g.incarnation:
		g.judge.HandleReply(*l.reply, s.gateClock(g))
	}
}

func (s *permitSystem) check(t *rapid.T) {
	var out []id.TargetID
	for _, g := range s.gates {
		g.judge.Tick(s.gateClock(g))
		if g.announced && !g.judge.Eligible(g.target, s.gateClock(g)).Admit || g.judge.Permitted(g.target, s.gateClock(g)) {
			out = append(out, g.target)
		}
	}
	s.ejections += len(out)
	if len(out) > s.allowed() {
		t.Fatalf("%d targets are ejected at %v, %d allowed: %v", len(out), s.now, s.allowed(), out)
	}
}

// TestPermits guards the floor against wrong evidence everywhere, gates that decide at the same
// moment, lost, repeated and late messages, restarts of the home and of gates, targets that leave,
// and clocks that drift.
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
		s.noteSize()
		anyGate := rapid.IntRange(0, len(s.gates)-1)
		deliver := func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "count") {
				if len(s.letters) == 0 {
					return
				}
				at := rapid.IntRange(0, len(s.letters)-1).Draw(t, "letter")
				l := s.letters[at]
				if rapid.IntRange(0, 9).Draw(t, "fate") > 0 {
					s.letters = slices.Delete(s.letters, at, at+1)
				}
				s.deliver(l)
			}
		}
		wait := func(t *rapid.T) {
			s.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			for i := range s.gates {
				s.collect(i)
			}
		}
		deliverAll := func(*rapid.T) {
			for len(s.letters) > 0 {
				l := s.letters[0]
				s.letters = s.letters[1:]
				s.deliver(l)
			}
		}
		blame := func(t *rapid.T) {
			i := anyGate.Draw(t, "gate")
			s.blame(s.gates[i])
			s.collect(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"deliver": deliver, "deliver2": deliver, "deliverAll": deliverAll, "deliverAll2": deliverAll,
			"wait": wait, "wait2": wait, "wait3": wait, "wait4": wait,
			"blame": blame, "blame2": blame,
			"blameMany": func(t *rapid.T) {
				first := anyGate.Draw(t, "first")
				for n := range rapid.IntRange(2, 4).Draw(t, "count") {
					i := (first + n) % len(s.gates)
					s.blame(s.gates[i])
					s.collect(i)
				}
			},
			"praise": func(t *rapid.T) {
				i := anyGate.Draw(t, "gate")
				s.praise(s.gates[i])
				s.collect(i)
			},
			"drop": func(t *rapid.T) {
				if len(s.letters) > 0 {
					at := rapid.IntRange(0, len(s.letters)-1).Draw(t, "letter")
					s.letters = slices.Delete(s.letters, at, at+1)
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
				s.noteSize()
			},
			"join": func(t *rapid.T) {
				g := s.gates[anyGate.Draw(t, "gate")]
				if !g.announced {
					g.announced = true
					g.judge.Announce(g.target, "s", s.gateClock(g))
					s.noteSize()
				}
			},
			"": s.check,
		})
	})
}
