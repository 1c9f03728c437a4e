package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

const (
	// trafficLimit bounds a load that nobody stops.
	trafficLimit = 30 * time.Minute
	// callerTimeout is the time that the load gives one request.
	callerTimeout = 5 * time.Second
	// mixedRate is the usual offered load in requests per second.
	mixedRate = 50
)

// traffic is a load that runs until it is stopped.
type traffic struct {
	fleet   *fleet
	started time.Time
	cancel  context.CancelFunc
	done    chan struct{}
	history load.History
	err     error
}

// mixed sends look-ups and bookings of the large customer to the hosts.
func (f *fleet) mixed(seed int64, hosts []*host) *traffic {
	return f.traffic(seed, hosts, load.Customer{
		ID: largeCustomer, RatePerSecond: mixedRate, LimitPerSecond: largeRate, LimitBurst: largeRate,
		Placement: load.Spread,
		Operations: []load.Operation{
			{Method: http.MethodGet, Path: "/walks/1", Idempotent: true, Weight: 1},
			{Method: http.MethodPost, Path: "/bookings", Weight: 1, BodyBytes: 128},
		},
	})
}

// greedy sends several times the tight customer's rate to the hosts.
func (f *fleet) greedy(seed int64, hosts []*host) *traffic {
	return f.traffic(seed, hosts, load.Customer{
		ID: tightCustomer, RatePerSecond: 4 * tightRate, LimitPerSecond: tightRate, LimitBurst: tightBurst,
		Placement:  load.Spread,
		Operations: []load.Operation{{Method: http.MethodGet, Path: "/walks/2", Idempotent: true, Weight: 1}},
	})
}

// traffic starts a load. Its seed must differ from all others of the fleet,
// because the targets count runs by the request ids that are made from it.
func (f *fleet) traffic(seed int64, hosts []*host, customer load.Customer) *traffic {
	GinkgoWriter.Printf("load of %s with seed %d\n", customer.ID, seed)
	plan := load.Plan{Duration: trafficLimit, Timeout: callerTimeout, Seed: seed, Customers: []load.Customer{customer}}
	for _, h := range hosts {
		plan.Daemons = append(plan.Daemons, h.url())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{fleet: f, started: time.Now(), cancel: cancel, done: make(chan struct{})}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	go func() {
		defer close(t.done)
		defer client.CloseIdleConnections()
		t.history, t.err = load.NewRunner(plan, f.keys, client).Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-t.done
	})
	return t
}

// stop ends the load after the last answer.
func (t *traffic) stop() load.History {
	GinkgoHelper()
	t.cancel()
	<-t.done
	Expect(t.err).NotTo(HaveOccurred())
	Expect(t.history.Overruns).To(BeZero())
	t.fleet.histories = append(t.fleet.histories, t.history)
	_ = load.WriteTable(GinkgoWriter, load.Summarize(t.history), nil)
	return t.history
}

// check stops the load and compares it with the targets' counts.
func (t *traffic) check() load.History {
	GinkgoHelper()
	history := t.stop()
	verdict := load.Check(history, t.fleet.runs())
	Expect(verdict).To(Equal(load.Verdict{}), "%s", examples(history, t.fleet.runs()))
	return history
}

// share returns the served part of the conforming requests that were due
// between two instants, and their number.
func (t *traffic) share(from, to time.Time) (float64, int) {
	served, all := 0, 0
	for _, record := range t.history.Records {
		due := t.started.Add(record.Due)
		if !record.Conforming || due.Before(from) || due.After(to) {
			continue
		}
		all++
		if record.Outcome == load.Served {
			served++
		}
	}
	return float64(served) / float64(max(all, 1)), all
}

// expectShare checks the served part between two instants.
func (t *traffic) expectShare(from, to time.Time, least float64) {
	GinkgoHelper()
	share, all := t.share(from, to)
	GinkgoWriter.Printf("served share %.4f of %d conforming requests\n", share, all)
	Expect(all).To(BeNumerically(">", 50))
	Expect(share).To(BeNumerically(">=", least), "%s", t.codes(from, to))
}

// codes describes the requests between two instants that were not served.
func (t *traffic) codes(from, to time.Time) string {
	counts := make(map[string]int)
	for _, record := range t.history.Records {
		due := t.started.Add(record.Due)
		if record.Outcome != load.Served && !due.Before(from) && !due.After(to) {
			counts[fmt.Sprintf("%s %s idempotent=%v", record.Outcome, record.Code, record.Idempotent)]++
		}
	}
	return fmt.Sprint(counts)
}

// examples lists the non-idempotent requests that violate a promise.
func examples(history load.History, runs map[string]int) string {
	text := ""
	for _, record := range history.Records {
		ran := runs[record.RequestID]
		lost := ran == 0 && record.Outcome == load.Served
		untrue := ran > 0 && record.Outcome == load.RefusedNotRun
		if record.Mismatched || !record.Idempotent && (ran > 1 || lost || untrue) {
			text += fmt.Sprintf("ran %d: %+v\n", ran, record)
		}
	}
	return text
}

// lookUps is the large customer's load without bookings.
func lookUps() load.Customer {
	return load.Customer{
		ID: largeCustomer, RatePerSecond: mixedRate, LimitPerSecond: largeRate, LimitBurst: largeRate,
		Placement:  load.Spread,
		Operations: []load.Operation{{Method: http.MethodGet, Path: "/walks/4", Idempotent: true, Weight: 1}},
	}
}
