package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against bookings at work that the process after a planned stop breaks off, since others wait for their slots.
var _ = Describe("A running booking whose slot others need", func() {
	const (
		slots = 4
		// usual is far below the overdue limit, slow far above it.
		usual, slow = 20 * time.Millisecond, 1800 * time.Millisecond
	)

	It("is answered by its target at a host that was stopped and started again", func() {
		f := newFleetWithGrace(2, 6*time.Second)
		for _, h := range f.hosts {
			h.setHandler(func(w http.ResponseWriter, r *http.Request) {
				work := usual
				if strings.HasPrefix(r.Header.Get("Request-Id"), "slow") {
					work = slow
				}
				select {
				case <-time.After(work):
				case <-r.Context().Done():
					return
				}
				w.Header().Set("Seal", "s")
			})
		}
		first, second := f.hosts[0], f.hosts[1]
		first.stop()
		Eventually(first.ended, "10s").Should(BeClosed())
		f.start(first)
		Eventually(func() int { return first.post("school-key", "again").status }, "5s").Should(Equal(http.StatusOK))
		for i := range 40 {
			Expect(f.hosts[i%2].post("school-key", fmt.Sprintf("usual-%d", i)).status).To(Equal(http.StatusOK))
		}
		var group sync.WaitGroup
		statuses := make([]int, len(f.hosts)*slots)
		for i := range statuses {
			group.Go(func() { statuses[i] = first.post("school-key", fmt.Sprintf("slow-%d", i)).status })
		}
		for since := time.Now(); time.Since(since) < slow; {
			second.post("school-key", fmt.Sprintf("more-%d", time.Since(since)))
		}
		group.Wait()
		Expect(statuses).To(HaveEach(http.StatusOK))
	})
})
