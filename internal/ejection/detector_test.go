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

var _ = Describe("Detector", func() {
	var (
		judge    *ejection.Detector
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
	// run observes n attempts that end with kind; each has its own source unless one is given.
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
	// grant grants the due permit requests and returns their number.
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
		judge = ejection.NewDetector(ejection.Holder{Host: "h", Incarnation: 1}, ejection.DefaultPolicy())
		judge.Announce(target, "s", now)
		judge.SetPeers("s", good)
		now = now.Add(time.Minute)
	})

	// Guards against a failing target that stays in service.
	It("suspects a target after four errors in a row and ejects it with a permit", func() {
		run(20, ejection.Succeeded, 10*time.Millisecond, 0)
		run(4, ejection.TargetError, 0, 0)
		Expect(weight()).To(Equal(0.25))
		Expect(grant()).To(Equal(1))
		Expect(judge.Eligible(target, now).Admit).To(BeFalse())
	})

	// Guards against suspicion because of request errors, reused connections and callers that disconnect.
	It("ignores errors that are not the target's", func() {
		run(50, ejection.RequestError, 0, 0)
		run(50, ejection.StalledReused, 0, 0)
		run(50, ejection.Cancelled, 0, 0)
		Expect(weight()).To(Equal(1.0))
	})

	// Guards against the ejection of a target because of one customer's failing requests.
	It("limits the number of errors that count from one source", func() {
		run(50, ejection.TargetError, 0, 7)
		Expect(weight()).To(Equal(1.0))
	})

	// Guards against ejections when the service as a whole is slow or failing.
	It("finds no outlier when the others are alike", func() {
		slow := []ejection.Peer{{Latency: 100 * time.Millisecond, ErrorRate: 0.9}, {Latency: 90 * time.Millisecond, ErrorRate: 0.8}}
		judge.SetPeers("s", slow)
		run(100, ejection.Succeeded, 110*time.Millisecond, 0)
		Expect(weight()).To(Equal(1.0))
		bad := []ejection.Peer{{Unhealthy: true}, {Unhealthy: true}, {}}
		judge.SetPeers("s", bad)
		run(5, ejection.TargetError, 0, 0)
		Expect(judge.Requests(now)).To(BeEmpty())
	})

	// Guards against a slow target, or one whose requests never end, that stays in service.
	It("suspects a slow target and one whose attempts hang", func() {
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
		Expect(judge.AttemptsPastDeadline(target)).To(Equal(4))
	})

	// Guards against an ejection that outlasts its lease, and against a short backoff for a flapping target.
	It("returns a target to service when the lease ends, and doubles the backoff with each relapse", func() {
		run(4, ejection.TargetError, 0, 0)
		grant()
		now = now.Add(ejection.Lease)
		Expect(judge.Eligible(target, now).Admit).To(BeTrue())
		var backoffs []time.Duration
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
			backoffs = append(backoffs, now.Sub(from))
			run(3, ejection.Succeeded, 10*time.Millisecond, 0)
			Expect(weight()).To(BeNumerically("<", 0.2))
		}
		Expect(backoffs).To(Equal([]time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second}))
	})

	// Guards against a lease that, after a late reply, ends after the home stopped counting the permit.
	It("counts the lease from before the request was sent", func() {
		run(4, ejection.TargetError, 0, 0)
		requests := judge.Requests(now)
		sent := now
		now = now.Add(6 * time.Second)
		judge.HandleReply(ejection.Reply{Target: target, Number: requests[0].Number, Decision: ejection.Granted}, now)
		Expect(judge.Eligible(target, now).Admit).To(BeFalse())
		Expect(judge.Eligible(target, sent.Add(ejection.Lease)).Admit).To(BeTrue())
	})

	// Guards against many trials at once on a target that still fails.
	It("admits one trial at a time and extends the backoff after a failed one", func() {
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
