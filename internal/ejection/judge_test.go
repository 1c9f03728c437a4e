package ejection_test

import (
	"encoding/binary"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

var _ = Describe("Judge", func() {
	var (
		judge    *ejection.Judge
		now      clock.Time
		attempts uint64
	)
	target := id.TargetID{Host: "h", Name: "t"}
	good := []ejection.Peer{{Latency: 10 * time.Millisecond}, {Latency: 12 * time.Millisecond}, {Latency: 9 * time.Millisecond}}

	start := func() id.AttemptID {
		attempts++
		var a id.AttemptID
		binary.BigEndian.PutUint64(a[:], attempts)
		judge.Observe(ejection.Observation{Target: target, Attempt: a, Kind: ejection.Started, At: now, Deadline: now.Add(time.Second)})
		return a
	}
	// run observes n attempts that end alike; the sources differ unless one is given.
	run := func(n int, kind ejection.Kind, latency time.Duration, source uint64) {
		for range n {
			a := start()
			s := source
			if s == 0 {
				s = attempts
			}
			judge.Observe(ejection.Observation{Target: target, Attempt: a, Kind: kind, At: now, Latency: latency, Source: s})
		}
	}
	weight := func() float64 { return judge.Eligible(target, now).Weight }
	// grant answers the due requests; it returns how many there were.
	grant := func() int {
		requests := judge.Requests(now)
		for _, r := range requests {
			judge.HandleReply(ejection.Reply{Target: r.Target, Number: r.Number, Decision: ejection.Granted}, now)
		}
		return len(requests)
	}

	BeforeEach(func() {
		now = clock.Time(time.Hour)
		attempts = 0
		judge = ejection.NewJudge(ejection.Holder{Host: "h", Incarnation: 1}, ejection.DefaultPolicy())
		judge.Announce(target, "s", now)
		judge.SetPeers("s", good)
		now = now.Add(time.Minute)
	})

	// Guards against a gray target that keeps its work.
	It("suspects a target after four errors in a row and ejects it with a permit", func() {
		run(20, ejection.Succeeded, 10*time.Millisecond, 0)
		run(4, ejection.TargetError, 0, 0)
		Expect(weight()).To(Equal(0.25))
		Expect(grant()).To(Equal(1))
		Expect(judge.Eligible(target, now).Admit).To(BeFalse())
	})

	// Guards against evidence from answers that blame the request, reused connections and callers that leave.
	It("takes no evidence from errors that do not concern the target", func() {
		run(50, ejection.RequestError, 0, 0)
		run(50, ejection.SilentReused, 0, 0)
		run(50, ejection.Cancelled, 0, 0)
		Expect(weight()).To(Equal(1.0))
	})

	// Guards against one customer's failing requests that eject a target.
	It("takes little evidence from one source", func() {
		run(50, ejection.TargetError, 0, 7)
		Expect(weight()).To(Equal(1.0))
	})

	// Guards against targets that are blamed for a slow or failing service.
	It("blames no target when the others are alike", func() {
		slow := []ejection.Peer{{Latency: 100 * time.Millisecond, ErrorRate: 0.9}, {Latency: 90 * time.Millisecond, ErrorRate: 0.8}}
		judge.SetPeers("s", slow)
		run(100, ejection.Succeeded, 110*time.Millisecond, 0)
		Expect(weight()).To(Equal(1.0))
		bad := []ejection.Peer{{Bad: true}, {Bad: true}, {}}
		judge.SetPeers("s", bad)
		run(5, ejection.TargetError, 0, 0)
		Expect(judge.Requests(now)).To(BeEmpty())
	})

	// Guards against a slow target, and against one whose requests never end.
	It("suspects a slow target and one that loses slots", func() {
		run(5, ejection.Succeeded, 50*time.Millisecond, 0)
		Expect(weight()).To(Equal(0.25))
		judge.Announce(target, "s", now)
		now = now.Add(time.Minute)
		for range 4 {
			start()
		}
		now = now.Add(2 * time.Second)
		judge.Tick(now)
		Expect(weight()).To(Equal(0.25))
		Expect(judge.LostSlots(target)).To(Equal(4))
	})

	// Guards against a lease that outlives its time, and against flapping that is rewarded with a short hold.
	It("returns a target when the lease ends, and holds it longer after each relapse", func() {
		run(4, ejection.TargetError, 0, 0)
		grant()
		now = now.Add(ejection.Lease)
		Expect(judge.Eligible(target, now).Admit).To(BeTrue())
		var holds []time.Duration
		for range 3 {
			run(4, ejection.TargetError, 0, 0)
			now = now.Add(2 * time.Second)
			grant()
			from := now
			for !judge.Eligible(target, now).Admit {
				now = now.Add(time.Second)
				grant()
			}
			Expect(judge.Eligible(target, now).IdempotentOnly).To(BeTrue())
			holds = append(holds, now.Sub(from))
			run(3, ejection.Succeeded, 10*time.Millisecond, 0)
			Expect(weight()).To(BeNumerically("<", 0.2))
		}
		Expect(holds).To(Equal([]time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second}))
	})

	// Guards against a lease that outlives the home's count because the reply was late.
	It("counts the lease from before the request was sent", func() {
		run(4, ejection.TargetError, 0, 0)
		requests := judge.Requests(now)
		sent := now
		now = now.Add(6 * time.Second)
		judge.HandleReply(ejection.Reply{Target: target, Number: requests[0].Number, Decision: ejection.Granted}, now)
		Expect(judge.Eligible(target, now).Admit).To(BeFalse())
		Expect(judge.Eligible(target, sent.Add(ejection.Lease)).Admit).To(BeTrue())
	})

	// Guards against trials that flood a target which is still bad.
	It("admits one trial at a time and holds on after a failed one", func() {
		run(4, ejection.TargetError, 0, 0)
		grant()
		now = now.Add(5 * time.Second)
		grant()
		a := start()
		Expect(judge.Eligible(target, now).Admit).To(BeFalse())
		judge.Observe(ejection.Observation{Target: target, Attempt: a, Kind: ejection.TargetError, At: now})
		now = now.Add(6 * time.Second)
		grant()
		Expect(judge.Eligible(target, now).Admit).To(BeFalse())
	})
})
