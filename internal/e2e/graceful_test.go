package e2e_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
)

const (
	gracefulSeed = 4201
	// stopBound is the longest time of a graceful stop: grace period, bound of the drain and a margin.
	stopBound = 40 * time.Second
	// downloadBytes is the size of an answer that is still in flight after the grace period.
	downloadBytes = 24 << 20
	// downloadTime is the time in which a caller reads it.
	downloadTime = 5 * time.Second
)

// gracefulCase stops a daemon under load and starts it again.
func gracefulCase(f *fleet) {
	victim := f.hosts[2]
	survivors := f.others(victim)
	everywhere := f.mixed(gracefulSeed, f.hosts)
	c := newCaller(f.keys[largeCustomer], callerTimeout)
	tickets := c.tickets(victim, 9)
	for i, ticket := range tickets[:3] {
		expectBooked(c, f.hosts[i], i, ticket)
	}
	direct := startProbes(f, victim)
	// The callers have their replies before the downloads start: their pace is the machine's, but the downloads
	// end after downloadTime, and the stop must meet both.
	Eventually(direct.count).WithTimeout(readyTimeout).Should(BeNumerically(">", 30))
	downloads := f.startDownloads()
	time.Sleep(time.Second)

	stopped := time.Now()
	victim.daemon.signal(syscall.SIGTERM)
	Expect(victim.daemon.await(stopBound)).To(Succeed())
	GinkgoWriter.Printf("stopped after %v\n", time.Since(stopped).Round(time.Millisecond))
	direct.expectUncut(stopped)
	for err := range downloads {
		Expect(err).NotTo(HaveOccurred())
	}

	for i, ticket := range tickets[:3] {
		expectBooked(c, survivors[i], i, ticket)
	}
	for i, ticket := range tickets[3:6] {
		expectBooked(c, survivors[i], 3+i, ticket)
	}
	f.startDaemon(victim)
	f.awaitReady(hostCount)
	ready := time.Now()
	for i, ticket := range tickets {
		expectBooked(c, victim, i, ticket)
	}
	time.Sleep(time.Until(ready.Add(recoverTime)))
	end := time.Now()
	everywhere.check()
	everywhere.expectShare(ready, end, 0.99)
	runs := f.runs()
	for i := range tickets {
		Expect(runs[gracefulName(i)]).To(Equal(1), "ticket %d", i)
	}
	f.expectTakenBack(c, victim, tickets)
}

var (
	delegatePattern = regexp.MustCompile(`"to":"(host-\d)".*"message":"handover: records handed over"`)
	returnedPattern = regexp.MustCompile(`"returned":true.*"message":"ownership: holding starts"`)
)

// expectTakenBack kills the delegate of a host that started again. The host's
// new process has the records itself then, and every other daemon finds them there.
func (f *fleet) expectTakenBack(c *caller, h *host, tickets []string) {
	GinkgoHelper()
	Eventually(func() string { return f.logOf(h) }, 15*time.Second, pollPeriod).Should(MatchRegexp(returnedPattern.String()))
	found := delegatePattern.FindStringSubmatch(f.logOf(h))
	Expect(found).NotTo(BeNil(), "no delegate in the log")
	GinkgoWriter.Printf("%s handed its records over to %s and took them back\n", h.name, found[1])
	var delegate *host
	for _, other := range f.others(h) {
		if other.name == found[1] {
			delegate = other
		}
	}
	delegate.killDaemon()
	for i, ticket := range tickets {
		for _, other := range f.others(delegate) {
			expectBooked(c, other, i, ticket)
		}
	}
	runs := f.runs()
	for i := range tickets {
		Expect(runs[gracefulName(i)]).To(Equal(1), "ticket %d after the loss of the delegate", i)
	}
}

// gracefulName is the request id of a booking of the case.
func gracefulName(i int) string {
	return fmt.Sprintf("graceful-%d", i)
}

// expectBooked sends a booking until it is answered by its target's answer,
// which is the recorded one when it ran before.
func expectBooked(c *caller, h *host, i int, ticket string) {
	GinkgoHelper()
	Eventually(func() error {
		r := c.book(h, gracefulName(i), ticket)
		if !r.served() || r.body != gracefulName(i) {
			return fmt.Errorf("%s, ticket %d: %v, body %q", h.name, i, r, r.body)
		}
		return nil
	}, 10*time.Second, pollPeriod).Should(Succeed())
}

// startDownloads starts slow readers of large answers at every host. The
// channel carries their results and is closed after the last one.
func (f *fleet) startDownloads() <-chan error {
	results := make(chan error, 2*hostCount)
	var wait sync.WaitGroup
	for i := range 2 * hostCount {
		h := f.hosts[i%hostCount]
		wait.Add(1)
		go func() {
			defer wait.Done()
			results <- download(f.keys[largeCustomer], h)
		}()
	}
	go func() {
		wait.Wait()
		close(results)
	}()
	return results
}

// download reads a large answer in small steps.
func download(key string, h *host) error {
	request, err := http.NewRequest(http.MethodGet, h.url()+"/walks/map", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(target.AnswerBytesHeader, strconv.Itoa(downloadBytes))
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		return fmt.Errorf("%s: %w", h.name, err)
	}
	defer func() { _ = response.Body.Close() }()
	const steps = 50
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, response.Body, downloadBytes/steps)
		total += n
		if err != nil {
			break
		}
		time.Sleep(downloadTime / steps)
	}
	if response.StatusCode != http.StatusOK || total != downloadBytes {
		return fmt.Errorf("%s: status %d, %d of %d bytes", h.name, response.StatusCode, total, downloadBytes)
	}
	return nil
}

// probes are callers that send look-ups to one daemon until its address refuses connections.
type probes struct {
	wait sync.WaitGroup

	mu      sync.Mutex
	replies []timedReply
}

// timedReply is a reply with the time of its request.
type timedReply struct {
	reply
	at time.Time
}

// startProbes starts four callers.
func startProbes(f *fleet, h *host) *probes {
	p := &probes{}
	for range 4 {
		c := newCaller(f.keys[largeCustomer], callerTimeout)
		p.wait.Add(1)
		go func() {
			defer p.wait.Done()
			for !p.add(time.Now(), c.get(h)) {
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	return p
}

// count returns the number of replies so far.
func (p *probes) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.replies)
}

// add keeps a reply and reports whether the daemon is gone.
func (p *probes) add(at time.Time, r reply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies = append(p.replies, timedReply{reply: r, at: at})
	return errors.Is(r.err, syscall.ECONNREFUSED)
}

// expectUncut checks that every request that was sent before the stop was served.
func (p *probes) expectUncut(stopped time.Time) {
	GinkgoHelper()
	p.wait.Wait()
	before, broken, refused := 0, 0, 0
	for _, r := range p.replies {
		switch {
		case r.at.Before(stopped):
			before++
			Expect(r.served()).To(BeTrue(), "%v before the stop: %v", stopped.Sub(r.at), r)
		case errors.Is(r.err, syscall.ECONNREFUSED):
		case r.err != nil:
			broken++
			GinkgoWriter.Printf("%v after the stop: %v\n", r.at.Sub(stopped), r.err)
		case !r.served():
			refused++
		}
	}
	Expect(before).To(BeNumerically(">", 20))
	GinkgoWriter.Printf("%d requests before the stop all served; after it %d refused, %d without an answer, of %d\n",
		before, refused, broken, len(p.replies)-before)
}
