package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// chaos injects faults on hops and at targets and counts the runs of each booking.
type chaos struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int
	// injected counts the faults by kind.
	injected map[string]int
}

// draw returns one of the kinds, "none" most of the time.
func (c *chaos) draw(kinds ...string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := "none"
	if c.random.IntN(100) < 35 {
		kind = kinds[c.random.IntN(len(kinds))]
	}
	c.injected[kind]++
	return kind
}

// hop breaks hops.
func (c *chaos) hop(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Bl-Attempt") == "" {
			next.ServeHTTP(w, r)
			return
		}
		switch c.draw("lost request", "lost answer", "crossed", "uncertified", "silent then late", "cut while running") {
		case "lost request":
			panic(http.ErrAbortHandler)
		case "lost answer":
			lostAnswer(next).ServeHTTP(w, r)
		case "crossed":
			crossed(next).ServeHTTP(w, r)
		case "uncertified":
			uncertified(next).ServeHTTP(w, r)
		case "silent then late":
			time.Sleep(500 * time.Millisecond)
			next.ServeHTTP(&discard{header: http.Header{}}, r)
		case "cut while running":
			body, _ := io.ReadAll(r.Body)
			detached := r.Clone(context.WithoutCancel(r.Context()))
			detached.Body = io.NopCloser(bytes.NewReader(body))
			detached.Header.Del("Expect")
			go unobserved(next, detached)
			time.Sleep(10 * time.Millisecond)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// unobserved runs a handler without a connection. Like net/http it accepts that the handler aborts.
func unobserved(next http.Handler, r *http.Request) {
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
	}()
	next.ServeHTTP(&discard{header: http.Header{}}, r)
}

// serve is a target. It counts the run unless it sheds the request.
func (c *chaos) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	kind := c.draw("shed", "error", "reset", "truncated", "slow")
	if kind == "shed" {
		w.Header().Set("Bl-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := strings.TrimRight(string(body), "x")
	c.mu.Lock()
	c.runs[name]++
	c.mu.Unlock()
	switch kind {
	case "slow":
		time.Sleep(50 * time.Millisecond)
		fmt.Fprintf(w, "booked %s", name)
	case "error":
		w.WriteHeader(http.StatusInternalServerError)
	case "reset":
		panic(http.ErrAbortHandler)
	case "truncated":
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("part"))
	default:
		fmt.Fprintf(w, "booked %s", name)
	}
}

// check fails when a booking's answer or record does not agree with what happened.
func (c *chaos) check(name string, got answer, recorded []entry.Outcome) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.runs[name]
	switch {
	case runs > 1:
		return fmt.Sprintf("%s ran %d times", name, runs)
	case got.err == nil && got.status == http.StatusOK && (runs != 1 || got.body != "booked "+name):
		return fmt.Sprintf("%s answered %q after %d runs", name, got.body, runs)
	case got.problem.Run == problem.NotRun && runs != 0:
		return fmt.Sprintf("%s was refused as not run (%s) after %d runs", name, got.problem.Code, runs)
	case len(recorded) == 0:
		return fmt.Sprintf("%s has no record", name)
	}
	last := recorded[len(recorded)-1]
	switch {
	case last.Kind == entry.RunRefused && runs != 0:
		return fmt.Sprintf("%s is recorded as refused after %d runs", name, runs)
	case last.Kind == entry.RunAnswered && runs != 1:
		return fmt.Sprintf("%s is recorded as answered after %d runs", name, runs)
	}
	return ""
}

var _ = Describe("random faults", func() {
	// Guards against any combination of faults that leads to a second run, a lost booking that is reported as
	// run, or an untrue refusal or record. Repeat a failure with the suite's seed.
	It("run each booking at most once and state its fate truthfully", func() {
		const bookings, callers = 400, 12
		c := &chaos{
			random: rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 1)), runs: map[string]int{}, injected: map[string]int{},
		}
		s := newStack(ginkgoCleaner{})
		s.directory.service = catalogue.Service{
			Name: "walks", QueueLimit: 20, RequestTimeout: 3 * time.Second, ProgressTimeout: time.Second, MaxBodyBytes: 1 << 20,
		}
		s.ledger.strict, s.ledger.running = true, map[entry.ClaimID]bool{}
		s.useSilence(300 * time.Millisecond)
		for i := range 4 {
			s.addGateBehind(fmt.Sprintf("t%d", i), 2, c.serve, c.hop)
		}
		stop := s.keepAnnouncing(2)
		defer stop()
		failures := make(chan string, bookings)
		var group sync.WaitGroup
		for caller := range callers {
			group.Go(func() {
				defer GinkgoRecover()
				for i := caller; i < bookings; i += callers {
					name := fmt.Sprintf("booking-%d.", i)
					body := name + strings.Repeat("x", (i%7)*20_000)
					request := s.request(http.MethodPost, "/book", strings.NewReader(body))
					request.Header.Set("Idempotency-Key", name)
					got := s.do(request)
					// The caller's own transport may send again when its connection is aborted, so there may be
					// several records.
					Eventually(func() int { return len(s.ledger.of(name)) }, "8s").ShouldNot(BeZero())
					if fault := c.check(name, got, s.ledger.of(name)); fault != "" {
						failures <- fault
					}
				}
			})
		}
		group.Wait()
		time.Sleep(time.Second)
		close(failures)
		for fault := range failures {
			Fail(fault)
		}
		for name, runs := range c.runs {
			Expect(runs).To(Equal(1), name)
		}
		GinkgoWriter.Printf("faults injected: %v\n", c.injected)
	})
})
