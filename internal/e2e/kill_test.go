package e2e_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

const killSeed = 4101

// recoverTime is the time of load in which a recovered fleet is measured.
const recoverTime = 4 * time.Second

// slowTime is the time of slow work before the kill. Longer slowness would fill the queues.
const slowTime = 500 * time.Millisecond

// killCase kills a daemon under load and starts it again.
func killCase(f *fleet) {
	victim := f.hosts[1]
	survivors := f.others(victim)
	everywhere := f.mixed(killSeed, f.hosts)
	elsewhere := f.mixed(killSeed+1, survivors)
	c := newCaller(f.keys[largeCustomer], callerTimeout)
	tickets := c.tickets(victim, 8)
	used, unused := tickets[:4], tickets[4:]
	for i, ticket := range used {
		r := c.book(f.hosts[i], killName("used", i), ticket)
		Expect(r.served()).To(BeTrue(), "%v", r)
	}
	before, err := victim.status()
	Expect(err).NotTo(HaveOccurred())
	// Slow work keeps bookings in flight at the gate, so that the kill leaves dispatched ones behind
	// and their entries still ask for their fate when the gate's next process runs.
	f.setModes(target.Slow)
	time.Sleep(slowTime)

	killed := time.Now()
	victim.killDaemon()
	f.setModes(target.Healthy)
	for _, h := range survivors {
		f.expectLost(c, h, used, unused, "")
	}
	time.Sleep(time.Second) // survivors serve while the host is down
	f.startDaemon(victim)
	f.awaitReady(hostCount)
	recovered := time.Now()
	GinkgoWriter.Printf("ready again %v after the kill\n", recovered.Sub(killed).Round(time.Millisecond))
	after, err := victim.status()
	Expect(err).NotTo(HaveOccurred())
	Expect(after.Epoch).To(BeNumerically(">", before.Epoch))
	for _, h := range f.hosts {
		f.expectLost(c, h, used, unused, problem.IssuerLost)
	}

	time.Sleep(time.Until(recovered.Add(recoverTime)))
	end := time.Now()
	everywhere.check()
	elsewhere.check()
	everywhere.expectShare(recovered, end, 0.99)
	// Only requests in flight at the lost host may fail at the others.
	elsewhere.expectShare(killed.Add(-time.Second), end, 0.97)
	runs := f.runs()
	for i := range used {
		Expect(runs[killName("used", i)]).To(Equal(1))
		Expect(runs[killName("unused", i)]).To(BeZero())
	}
}

// setModes changes how all targets treat work.
func (f *fleet) setModes(mode target.Mode) {
	GinkgoHelper()
	for _, h := range f.hosts {
		h.setMode(mode)
	}
}

// killName is the request id of a booking of the case.
func killName(kind string, i int) string {
	return fmt.Sprintf("kill-%s-%d", kind, i)
}

// expectLost sends the tickets of a lost epoch: their fate is unknown and the
// send did not run. An empty code allows any refusal that says so.
func (f *fleet) expectLost(c *caller, h *host, used, unused []string, code problem.Code) {
	GinkgoHelper()
	for i := range used {
		for kind, ticket := range map[string]string{"used": used[i], "unused": unused[i]} {
			r := c.book(h, killName(kind, i), ticket)
			Expect(r.refusal.Run).To(Equal(problem.Unknown), "%s: %v", h.name, r)
			Expect(r.refusal.Send).To(Equal(problem.NotRun), "%s: %v", h.name, r)
			if code != "" {
				Expect(r.refusal.Code).To(Equal(code), "%s: %v", h.name, r)
			}
		}
	}
}
