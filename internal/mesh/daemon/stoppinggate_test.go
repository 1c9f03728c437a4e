package daemon_test

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// Guards against a stop that cuts answers off: an attempt releases its slot before its answer is written to the other host.
var _ = Describe("The answer of an attempt of another host", func() {
	// writeDelay is how long the answer is held back after the slot was released. A stopping daemon checks far more often
	// whether it has work.
	const writeDelay = 500 * time.Millisecond

	It("is written before a stopping daemon ends", func() {
		f := newFleetWithGrace(2, 4*time.Second)
		near, far := f.hosts[0], f.hosts[1]
		near.announce(roster.Draining, 2)
		release := make(chan struct{})
		far.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			<-release
			w.Header().Set("Seal", "s")
		})
		far.setOnLine(func(message string) {
			if message == "gate: attempt ended" {
				time.Sleep(writeDelay)
			}
		})
		got := make(chan callResult, 1)
		go func() {
			defer GinkgoRecover()
			got <- near.post("school-key", "late")
		}()
		Eventually(func() int { return f.runsOf("late") }, "2s").Should(Equal(1))
		far.stop()
		// The callers' listener is closed once callers have had time to leave. The attempt is all that is left then.
		Eventually(func() error {
			conn, err := net.Dial("tcp", far.callers)
			if err == nil {
				_ = conn.Close()
			}
			return err
		}, "5s").Should(HaveOccurred())
		time.Sleep(100 * time.Millisecond)
		close(release)
		Expect((<-got).status).To(Equal(http.StatusOK))
		Eventually(far.ended, "5s").Should(BeClosed())
	})

	It("does not keep a stopping daemon that refuses attempts without a pause", func() {
		f := newFleetWithGrace(2, 10*time.Second)
		near, far := f.hosts[0], f.hosts[1]
		near.announce(roster.Draining, 2)
		far.setOnLine(func(message string) {
			if message == "gate: attempt ended" {
				time.Sleep(writeDelay)
			}
		})
		far.stop()
		stopped := time.Now()
		for range 8 {
			go func() {
				for i := 0; ; i++ {
					select {
					case <-far.ended:
						return
					default:
						near.get(fmt.Sprintf("/browse/%d", i), "school-key")
					}
				}
			}()
		}
		Eventually(far.ended, "15s").Should(BeClosed())
		// The end of the grace period would be 10 s.
		Expect(time.Since(stopped)).To(BeNumerically("<", 7*time.Second))
	})
})
