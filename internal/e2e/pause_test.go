package e2e_test

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

const (
	pauseSeed = 4301
	// pauseTime is longer than the time for which keys and duties are confirmed.
	pauseTime = 12 * time.Second
	// waitingRequests is the number of requests that wait in the paused daemon's connections.
	waitingRequests = 5
)

// pauseCase stops a daemon's process, revokes a key and lets it continue.
func pauseCase(f *fleet) {
	victim := f.hosts[3]
	key := f.issueKey(largeCustomer)
	c := newCaller(key.secret, pauseTime+10*time.Second)
	Eventually(func() bool { return c.get(victim).served() }, 7*time.Second, pollPeriod).Should(BeTrue())
	everywhere := f.mixed(pauseSeed, f.hosts)
	greedy := f.greedy(pauseSeed+1, f.hosts)
	time.Sleep(time.Second) // requests are in flight at the pause

	paused := time.Now()
	victim.daemon.signal(syscall.SIGSTOP)
	DeferCleanup(func() {
		if victim.daemon.running() {
			victim.daemon.signal(syscall.SIGCONT)
		}
	})
	_, err := f.command(f.operators[0], f.hosts[0], "key", "revoke", key.id, "--why", "test")
	Expect(err).NotTo(HaveOccurred())
	waiting := f.sendWaiting(c, victim)
	time.Sleep(time.Until(paused.Add(pauseTime)))
	continued := time.Now()
	victim.daemon.signal(syscall.SIGCONT)
	first, firstErr := victim.status()
	GinkgoWriter.Printf("first status %v after the pause: %+v, %v\n", time.Since(continued).Round(time.Millisecond), first, firstErr)
	Expect(firstErr).NotTo(HaveOccurred())
	if !first.Ready {
		Expect(first.DutiesConfirmed).To(BeFalse(), "duties are performed without a confirmation")
	}
	for time.Since(continued) < 4*time.Second {
		r := c.get(victim)
		Expect(r.served()).To(BeFalse(), "revoked key served %v after the pause", time.Since(continued))
	}
	Eventually(func() problem.Code { return c.get(victim).refusal.Code }, 10*time.Second, pollPeriod).Should(Equal(problem.KeyInvalid))
	for r := range waiting {
		Expect(r.served()).To(BeFalse(), "a request that waited in the paused daemon was served with a revoked key")
	}
	f.awaitReady(hostCount)
	ready := time.Now()
	time.Sleep(recoverTime)
	end := time.Now()
	everywhere.check()
	everywhere.expectShare(ready, end, 0.99)
	f.expectWithinRate(greedy)
}

// sendWaiting sends requests to a paused daemon, which wait in their connections.
func (f *fleet) sendWaiting(c *caller, h *host) <-chan reply {
	replies := make(chan reply, waitingRequests)
	var wait sync.WaitGroup
	for range waitingRequests {
		wait.Add(1)
		go func() {
			defer wait.Done()
			replies <- c.get(h)
		}()
	}
	go func() {
		wait.Wait()
		close(replies)
	}()
	return replies
}

// expectWithinRate checks that the tight customer got no more than its rate
// and burst in any window, which two performers of one duty would exceed.
func (f *fleet) expectWithinRate(greedy *traffic) {
	GinkgoHelper()
	history := greedy.check()
	excess, where := worstExcess(history, tightRate, tightBurst)
	GinkgoWriter.Printf("most above rate and burst in any window: %.2f (%s)\n", excess, where)
	Expect(excess).To(BeNumerically("<=", 0), where)
	Expect(where).NotTo(BeEmpty(), fmt.Sprintf("%d requests", len(history.Records)))
}
