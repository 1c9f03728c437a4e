package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
)

const (
	poison    = "poison"
	daemons   = 5
	innocents = 3
	maxWaitMs = 400
)

// daemon is one host with one target.
type daemon struct {
	target     id.TargetID
	quarantine *quarantine.Quarantine
	offset     time.Duration
	running    []string
}

// cluster is the system under test; published holds all records ever published, for delivery in any order.
type cluster struct {
	now       time.Duration
	daemons   []*daemon
	published [][]membership.Suspect
	// crashed are the targets that the poison request crashed.
	crashed map[id.TargetID]bool
	// crashedWith holds, per innocent request, the targets that crashed while it was in flight.
	crashedWith map[string]map[id.TargetID]bool
}

func newCluster() *cluster {
	c := &cluster{crashed: map[id.TargetID]bool{}, crashedWith: map[string]map[id.TargetID]bool{}}
	for i := range daemons {
		host := id.HostID(fmt.Sprintf("h%d", i))
		c.daemons = append(c.daemons, &daemon{
			target:     id.TargetID{Host: host, Name: "t"},
			quarantine: quarantine.New(quarantine.Config{Host: host, Incarnation: id.Incarnation(1000 * (i + 1))}),
			offset:     time.Duration(i) * time.Hour,
		})
	}
	return c
}

func (c *cluster) clock(d *daemon) clock.Time { return clock.Time(c.now + d.offset) }

// start dispatches a request if the gate permits it.
func (c *cluster) start(d *daemon, fingerprint string) bool {
	if !d.quarantine.MayStart(fingerprint, c.clock(d)) {
		return false
	}
	d.quarantine.Started(fingerprint, d.target)
	d.running = append(d.running, fingerprint)
	return true
}

// finish completes the requests at a daemon's target, or crashes the target if the poison is one of them.
func (c *cluster) finish(d *daemon) {
	if slices.Contains(d.running, poison) {
		for _, f := range d.running {
			if f != poison {
				if c.crashedWith[f] == nil {
					c.crashedWith[f] = map[id.TargetID]bool{}
				}
				c.crashedWith[f][d.target] = true
			}
		}
		c.crashed[d.target] = true
		d.quarantine.Crashed(d.target, c.clock(d))
	} else {
		for _, f := range d.running {
			d.quarantine.Ended(f, d.target, true, c.clock(d))
		}
	}
	d.running = nil
}

func (c *cluster) publish(d *daemon) {
	c.published = append(c.published, d.quarantine.Publish(c.clock(d)))
}

// gossip delivers every daemon's current record to all daemons.
func (c *cluster) gossip() {
	for _, from := range c.daemons {
		record := from.quarantine.Publish(c.clock(from))
		for _, to := range c.daemons {
			to.quarantine.Merge(record, c.clock(to))
		}
	}
}

// check asserts that no request is quarantined without two crashed targets.
func (c *cluster) check(t *rapid.T) {
	for _, d := range c.daemons {
		if d.quarantine.Check(poison, c.clock(d)) == quarantine.Quarantined && len(c.crashed) < 2 {
			t.Fatalf("poison is quarantined after %d crashes", len(c.crashed))
		}
		for i := range innocents {
			f := fmt.Sprintf("innocent%d", i)
			if d.quarantine.Check(f, c.clock(d)) == quarantine.Quarantined && len(c.crashedWith[f]) < 2 {
				t.Fatalf("%s is quarantined after %d crashes", f, len(c.crashedWith[f]))
			}
		}
	}
}

// settle finishes what is in flight, delivers all evidence, and runs every innocent request that may start.
func (c *cluster) settle() {
	for _, d := range c.daemons {
		if slices.Contains(d.running, poison) {
			c.finish(d)
		}
	}
	c.now += time.Millisecond
	for _, d := range c.daemons {
		c.finish(d)
	}
	c.gossip()
	c.now += time.Second
	c.gossip()
	for i := range innocents {
		f := fmt.Sprintf("innocent%d", i)
		var candidates []id.TargetID
		for _, d := range c.daemons {
			candidates = append(candidates, d.target)
		}
		first := c.daemons[0]
		chosen, _ := first.quarantine.IsolationTarget(f, candidates, c.clock(first))
		for _, d := range c.daemons {
			if d.target == chosen && c.start(d, f) {
				c.finish(d)
			}
		}
	}
	c.now += time.Second
	c.gossip()
	c.gossip()
}

// TestQuarantine guards against a quarantine without two crashes, verdicts that depend on the order of
// messages, innocent requests that stay refused although they completed elsewhere, and a poison
// request that still runs when all daemons know of two crashes.
func TestQuarantine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		anyDaemon := rapid.IntRange(0, daemons-1)
		startInnocent := func(t *rapid.T) {
			c.start(c.daemons[anyDaemon.Draw(t, "daemon")], fmt.Sprintf("innocent%d", rapid.IntRange(0, innocents-1).Draw(t, "n")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"innocent": startInnocent, "innocent2": startInnocent,
			"poison":  func(t *rapid.T) { c.start(c.daemons[anyDaemon.Draw(t, "daemon")], poison) },
			"finish":  func(t *rapid.T) { c.finish(c.daemons[anyDaemon.Draw(t, "daemon")]) },
			"publish": func(t *rapid.T) { c.publish(c.daemons[anyDaemon.Draw(t, "daemon")]) },
			"merge": func(t *rapid.T) {
				if len(c.published) > 0 {
					record := c.published[rapid.IntRange(0, len(c.published)-1).Draw(t, "record")]
					d := c.daemons[anyDaemon.Draw(t, "daemon")]
					d.quarantine.Merge(record, c.clock(d))
				}
			},
			"wait": func(t *rapid.T) {
				c.now += time.Duration(rapid.IntRange(1, maxWaitMs).Draw(t, "ms")) * time.Millisecond
			},
			"": c.check,
		})
		quarantinedBefore := map[string]bool{}
		for i := range innocents {
			f := fmt.Sprintf("innocent%d", i)
			quarantinedBefore[f] = c.quarantinedSomewhere(f)
		}
		completedSince := c.completes(quarantinedBefore)
		c.settle()
		for _, d := range c.daemons {
			if len(c.crashed) >= 2 && d.quarantine.Check(poison, c.clock(d)) != quarantine.Quarantined {
				t.Fatalf("%v does not refuse the poison after %d crashes", d.target, len(c.crashed))
			}
			if len(c.crashed) >= 2 && c.start(d, poison) {
				t.Fatalf("%v runs the poison after %d crashes", d.target, len(c.crashed))
			}
			for i := range innocents {
				f := fmt.Sprintf("innocent%d", i)
				verdict := d.quarantine.Check(f, c.clock(d))
				if completedSince[f] && verdict != quarantine.Clear {
					t.Fatalf("%v reports %s as %v although it completed elsewhere", d.target, f, verdict)
				}
				if verdict != c.daemons[0].quarantine.Check(f, c.clock(c.daemons[0])) {
					t.Fatalf("daemons disagree about %s", f)
				}
			}
		}
	})
}

// quarantinedSomewhere reports whether any daemon refuses a fingerprint.
func (c *cluster) quarantinedSomewhere(f string) bool {
	return slices.ContainsFunc(c.daemons, func(d *daemon) bool {
		return d.quarantine.Check(f, c.clock(d)) == quarantine.Quarantined
	})
}

// completes returns the innocent requests that will complete during settle: those in flight at a target
// without the poison, and those that are not quarantined and have fewer than two crashes at its end.
func (c *cluster) completes(quarantined map[string]bool) map[string]bool {
	completes := map[string]bool{}
	for i := range innocents {
		f := fmt.Sprintf("innocent%d", i)
		underWay := slices.ContainsFunc(c.daemons, func(d *daemon) bool {
			return slices.Contains(d.running, f) && !slices.Contains(d.running, poison)
		})
		crashedTargets := len(c.crashedWith[f])
		for _, d := range c.daemons {
			if slices.Contains(d.running, f) && slices.Contains(d.running, poison) {
				crashedTargets++
			}
		}
		completes[f] = underWay || (!quarantined[f] && crashedTargets < 2)
	}
	return completes
}
