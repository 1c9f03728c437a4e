package entry_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// load sends bookings from several callers until stop is closed. It counts the good and the other responses; wait
// blocks until all callers have stopped.
func (s *stack) load(callers int, stop chan struct{}) (good, other *atomic.Int64, wait func()) {
	good, other = &atomic.Int64{}, &atomic.Int64{}
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			defer GinkgoRecover()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if a := s.do(s.request(http.MethodPost, "/book", nil)); a.err == nil && a.status == http.StatusOK {
					good.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
	}
	return good, other, group.Wait
}

// slowTarget responds after 5 ms and counts the requests that arrive after it was closed.
type slowTarget struct {
	closed atomic.Bool
	late   atomic.Int64
	runs   atomic.Int64
}

func (t *slowTarget) serve(w http.ResponseWriter, _ *http.Request) {
	t.runs.Add(1)
	if t.closed.Load() {
		t.late.Add(1)
	}
	time.Sleep(5 * time.Millisecond)
	_, _ = w.Write([]byte("done"))
}

var _ = Describe("drain under load", func() {
	var s *stack
	var targets [2]*slowTarget
	var gates [2]*gate.Gate

	BeforeEach(func() {
		s = newStack(ginkgoCleaner{})
		for i, name := range []string{"t1", "t2"} {
			targets[i] = &slowTarget{}
			gates[i], _ = s.addGate(name, 4, targets[i].serve)
		}
	})

	// run applies a change under load and expects that every request succeeds and runs exactly once, and that none
	// reaches the first target after it was closed.
	run := func(change func()) {
		stop := make(chan struct{})
		good, other, wait := s.load(6, stop)
		Eventually(good.Load).Should(BeNumerically(">", 50))
		change()
		Eventually(targets[1].runs.Load).Should(BeNumerically(">", 50))
		close(stop)
		wait()
		Expect(other.Load()).To(BeZero())
		Expect(targets[0].late.Load()).To(BeZero())
		Expect(targets[0].runs.Load() + targets[1].runs.Load()).To(Equal(good.Load()))
	}

	// Guards against dispatching to a target that has announced that it stops, and against refusals meanwhile.
	DescribeTable("a target that announces that it stops",
		func(state targetapi.State) {
			run(func() {
				address := s.addresses["t1"]
				Expect(s.announce(gates[0], "t1", address, 4, state)).To(Equal(http.StatusNoContent))
				// Attempts that were dispatched just before the announcement may still be arriving.
				time.Sleep(50 * time.Millisecond)
				targets[0].closed.Store(true)
			})
		},
		Entry("leaving", targetapi.Leaving),
		Entry("draining", targetapi.Draining),
	)

	// Guards against a graceful stop of a gate that interrupts requests or makes them fail.
	It("finishes what is in flight when the gate stops", func() {
		run(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			Expect(gates[0].Shutdown(ctx)).To(Succeed())
			targets[0].closed.Store(true)
		})
	})

	// Guards against a graceful stop of the entry that interrupts a request or admits one afterwards.
	It("finishes what is in flight when the entry stops", func() {
		answers := make(chan answer, 1)
		started := make(chan struct{})
		s = newStack(ginkgoCleaner{})
		s.addGate("t1", 1, func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			time.Sleep(200 * time.Millisecond)
			_, _ = w.Write([]byte("done"))
		})
		go func() {
			defer GinkgoRecover()
			answers <- s.book()
		}()
		Eventually(started).Should(BeClosed())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(s.entry.Shutdown(ctx)).To(Succeed())
		var got answer
		Eventually(answers).Should(Receive(&got))
		Expect(got.body).To(Equal("done"))
		Expect(s.book().status).To(Equal(http.StatusServiceUnavailable))
	})
})
