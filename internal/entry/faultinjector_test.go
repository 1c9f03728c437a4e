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

// faultInjector injects random faults on hops and at targets and counts the runs of each booking.
type faultInjector struct {
	mu     sync.Mutex
	random *rand.Rand
	// runs counts the runs by booking.
	runs map[string]int
	// injected counts the faults by kind.
	injected map[string]int
}

// draw returns a random kind of fault with a probability of 35 %, or else "none".
func (f *faultInjector) draw(kinds ...string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	kind := "none"
	if f.random.IntN(100) < 35 {
		kind = kinds[f.random.IntN(len(kinds))]
	}
	f.injected[kind]++
	return kind
}

// hopFaults wraps a gate's handler and injects faults before or after it.
func (f *faultInjector) hopFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Bl-Attempt") == "" {
			next.ServeHTTP(w, r)
			return
		}
		switch f.draw("lost request", "lost answer", "crossed", "uncertified", "silent then late", "cut while running") {
		case "lost request":
			panic(http.ErrAbortHandler)
		case "lost answer":
			lostAnswer(next).ServeHTTP(w, r)
		case "crossed":
			crossedAnswer(next).ServeHTTP(w, r)
		case "uncertified":
			uncertifiedAnswer(next).ServeHTTP(w, r)
		case "silent then late":
			time.Sleep(500 * time.Millisecond)
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		case "cut while running":
			body, _ := io.ReadAll(r.Body)
			detached := r.Clone(context.WithoutCancel(r.Context()))
			detached.Body = io.NopCloser(bytes.NewReader(body))
			detached.Header.Del("Expect")
			go serveDetached(next, detached)
			time.Sleep(10 * time.Millisecond)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// serveDetached runs a handler without a connection and discards its response. Like net/http it recovers from
// http.ErrAbortHandler.
func serveDetached(next http.Handler, r *http.Request) {
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
	}()
	next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
}

// serve is the handler of a target. It injects faults and counts the run unless it sheds the request.
func (f *faultInjector) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	kind := f.draw("shed", "error", "reset", "truncated", "slow")
	if kind == "shed" {
		w.Header().Set("Bl-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := strings.TrimRight(string(body), "x")
	f.mu.Lock()
	f.runs[name]++
	f.mu.Unlock()
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

// check describes a contradiction between a booking's response, its record and the number of its runs; it returns an
// empty string when there is none.
func (f *faultInjector) check(name string, got answer, recorded []entry.Outcome) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := f.runs[name]
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
	// Guards against combinations of faults that lead to a second run, a success response without a run, or a
	// refusal or record that contradicts the runs. Reproduce a failure with the suite's seed.
	It("run each booking at most once and agree with its response and record", func() {
		const bookings, callers = 400, 12
		faults := &faultInjector{
			random: rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), 1)), runs: map[string]int{}, injected: map[string]int{},
		}
		s := newStack(ginkgoCleaner{})
		s.directory.service = catalogue.Service{
			Name: "walks", QueueLimit: 20, RequestTimeout: 3 * time.Second, ProgressTimeout: time.Second, MaxBodyBytes: 1 << 20,
		}
		s.ledger.strict, s.ledger.running = true, map[entry.ClaimID]bool{}
		s.useHopSilence(300 * time.Millisecond)
		for i := range 4 {
			s.addGateWithFault(fmt.Sprintf("t%d", i), 2, faults.serve, faults.hopFaults)
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
					// The HTTP client may resend a request whose connection was aborted, so there may be several
					// records.
					Eventually(func() int { return len(s.ledger.outcomesOf(name)) }, "8s").ShouldNot(BeZero())
					if fault := faults.check(name, got, s.ledger.outcomesOf(name)); fault != "" {
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
		for name, runs := range faults.runs {
			Expect(runs).To(Equal(1), name)
		}
		GinkgoWriter.Printf("faults injected: %v\n", faults.injected)
	})
})
