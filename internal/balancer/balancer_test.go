package balancer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/balancer"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// hostRecord returns the record of a host with one serving target of service "s" per name.
func hostRecord(host id.HostID, domain id.FailureDomain, names ...string) *membership.Record {
	r := &membership.Record{Host: host, FailureDomain: domain, Incarnation: 1}
	for _, name := range names {
		r.Targets = append(r.Targets, membership.Target{Name: name, Service: "s", State: membership.TargetServing, Slots: 5})
	}
	return r
}

// warm is a time at which the slow start of every target has ended.
const warm = clock.Time(time.Minute)

var _ = Describe("Balancer", func() {
	var b *balancer.Balancer
	BeforeEach(func() {
		b = balancer.New(balancer.Config{Host: "h0", FailureDomain: "d0", Seed: 1})
		b.SetHost(hostRecord("h1", "d0", "t"), false, 0)
		b.SetHost(hostRecord("h2", "d1", "t"), false, 0)
		b.SetHost(hostRecord("h3", "d1", "t"), false, 0)
	})

	// picks completes n attempts and counts how often each host was chosen.
	picks := func(n int, now clock.Time) map[id.HostID]int {
		count := make(map[id.HostID]int)
		for range n {
			c, ok := b.Pick("s", nil, false, now)
			Expect(ok).To(BeTrue())
			count[c.Gate]++
			b.Report(balancer.Feedback{Target: c.Target, Result: balancer.Completed, Latency: time.Millisecond}, now)
		}
		return count
	}

	// Guards against a retry on a target that was already tried.
	It("never returns an excluded target", func() {
		all := []id.TargetID{{Host: "h1", Name: "t"}, {Host: "h2", Name: "t"}, {Host: "h3", Name: "t"}}
		for range 100 {
			c, ok := b.Pick("s", all[:2], false, warm)
			Expect(ok).To(BeTrue())
			Expect(c.Gate).To(Equal(id.HostID("h3")))
		}
		_, ok := b.Pick("s", all, false, warm)
		Expect(ok).To(BeFalse())
	})

	// Guards against hops to other failure domains while the local one has free slots.
	It("prefers the local failure domain, and the local host in it", func() {
		Expect(picks(100, warm)).To(HaveKeyWithValue(id.HostID("h1"), 100))
		b.SetHost(hostRecord("h0", "d0", "t"), false, 0)
		Expect(picks(100, warm)).To(HaveKeyWithValue(id.HostID("h0"), 100))
	})

	// Guards against a locality preference that overloads the local targets.
	It("chooses a target in another failure domain when the local one is full", func() {
		for range 5 {
			_, _ = b.Pick("s", []id.TargetID{{Host: "h2", Name: "t"}, {Host: "h3", Name: "t"}}, false, warm)
		}
		c, _ := b.Pick("s", nil, false, warm)
		Expect(c.Gate).NotTo(Equal(id.HostID("h1")))
	})

	// Guards against repeated attempts over a broken path, and against a path that is never tried again.
	It("avoids an unreachable gate, tests it with one request after the backoff, and then uses it again", func() {
		b.Report(balancer.Feedback{Target: id.TargetID{Host: "h1", Name: "t"}, Result: balancer.ConnectFailed}, warm)
		Expect(picks(50, warm)).NotTo(HaveKey(id.HostID("h1")))
		later := warm.Add(time.Second)
		trial, _ := b.Pick("s", nil, false, later)
		Expect(trial.Gate).To(Equal(id.HostID("h1")))
		other, _ := b.Pick("s", nil, false, later)
		Expect(other.Gate).NotTo(Equal(id.HostID("h1")))
		b.Report(balancer.Feedback{Target: trial.Target, Result: balancer.Completed, Latency: time.Millisecond}, later)
		Expect(picks(50, later)).To(HaveKey(id.HostID("h1")))
	})

	// Guards against a backoff because of one stale connection, and against non-idempotent requests
	// as trials of a path that stalled: such a request may run without an answer.
	It("backs off after two stalled connections and tests the path with idempotent requests only", func() {
		stalled := balancer.Feedback{Target: id.TargetID{Host: "h1", Name: "t"}, Result: balancer.Stalled}
		b.Report(stalled, warm)
		Expect(picks(1, warm)).To(HaveKey(id.HostID("h1")))
		b.Report(stalled, warm)
		b.Report(stalled, warm)
		later := warm.Add(time.Minute)
		Expect(picks(50, later)).NotTo(HaveKey(id.HostID("h1")))
		c, _ := b.Pick("s", nil, true, later)
		Expect(c.Gate).To(Equal(id.HostID("h1")))
	})

	// Guards against a failing target that attracts work because its errors are fast (gray failure).
	It("moves work away from a target that fails fast", func() {
		for range 300 {
			c, _ := b.Pick("s", nil, false, warm)
			result := balancer.Completed
			if c.Gate == "h1" {
				result = balancer.TargetFailed
			}
			b.Report(balancer.Feedback{Target: c.Target, Result: result, Latency: time.Millisecond}, warm)
		}
		Expect(picks(300, warm)["h1"]).To(BeNumerically("<", 100))
	})

	// Guards against new work for draining or ejected targets, even when there are no others.
	It("never returns a draining or ejected target", func() {
		r := hostRecord("h9", "d0", "a", "b")
		r.Targets[0].State = membership.TargetDraining
		r.Targets[1].State = membership.TargetEjected
		b = balancer.New(balancer.Config{Host: "h0", FailureDomain: "d0"})
		b.SetHost(r, false, 0)
		_, ok := b.Pick("s", nil, true, warm)
		Expect(ok).To(BeFalse())
	})
})

// BenchmarkPick shows that the cost of Pick does not grow with the number of targets.
func BenchmarkPick(bench *testing.B) {
	for _, hosts := range []int{46, 460} {
		bench.Run(fmt.Sprintf("targets=%d", hosts*9), func(bench *testing.B) {
			b := balancer.New(balancer.Config{Host: "h0", FailureDomain: "d0", Seed: 1})
			names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
			for i := range hosts {
				b.SetHost(hostRecord(id.HostID(fmt.Sprintf("h%d", i)), id.FailureDomain(fmt.Sprintf("d%d", i%6)), names...), false, 0)
			}
			bench.ResetTimer()
			for range bench.N {
				c, _ := b.Pick("s", nil, false, warm)
				b.Report(balancer.Feedback{Target: c.Target, Result: balancer.Completed, Latency: time.Millisecond}, warm)
			}
		})
	}
}
