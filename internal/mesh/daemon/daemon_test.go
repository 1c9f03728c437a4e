package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

var _ = Describe("Daemon", func() {
	It("serves requests on any host and runs bookings once", func() {
		f := newFleet(3)
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				defer GinkgoRecover()
				request := fmt.Sprintf("b%d", i)
				Expect(f.hosts[i%3].post("school-key", request).status).To(Equal(http.StatusOK))
				Expect(f.runsOf(request)).To(Equal(1))
			})
		}
		group.Wait()
	})

	// Guards against a key that remains valid after its removal, and against policy changes that need a restart.
	It("applies a new policy while it serves", func() {
		f := newFleet(2)
		f.store.setPolicy(2, "new-key")
		for _, h := range f.hosts {
			Eventually(func() int { return h.get("/browse/1", "school-key").status }, "2s").Should(Equal(http.StatusUnauthorized))
			Expect(h.get("/browse/1", "new-key").status).To(Equal(http.StatusOK))
		}
	})

	// Guards against a fleet that stops serving when its store is down.
	It("serves while the store is down", func() {
		f := newFleet(2)
		f.store.setDown(true)
		for i := range 10 {
			Expect(f.hosts[i%2].post("school-key", fmt.Sprintf("b%d", i)).status).To(Equal(http.StatusOK))
		}
		f.store.setDown(false)
		f.store.setPolicy(2, "new-key")
		Eventually(func() int { return f.hosts[0].get("/browse/1", "new-key").status }, "5s").Should(Equal(http.StatusOK))
	})

	// Guards against a target that gets attempts after its leaving was acknowledged.
	It("sends no attempts to a leaving target", func() {
		f := newFleet(2)
		f.hosts[0].announce(roster.Draining, 2)
		f.hosts[0].mu.Lock()
		before := len(f.hosts[0].runs)
		f.hosts[0].mu.Unlock()
		for i := range 10 {
			Expect(f.hosts[i%2].post("school-key", fmt.Sprintf("b%d", i)).status).To(Equal(http.StatusOK))
		}
		f.hosts[0].mu.Lock()
		defer f.hosts[0].mu.Unlock()
		Expect(f.hosts[0].runs).To(HaveLen(before))
	})

	// Guards against requests that are aborted when their host stops; found by mix --seed 302750721648 of zfb-mesh.
	It("is not ready while its target is leaving", func() {
		f := newFleet(1)
		Expect(f.hosts[0].ready()).To(BeTrue())
		f.hosts[0].announce(roster.Draining, 2)
		Expect(f.hosts[0].ready()).To(BeFalse())
		Expect(f.hosts[0].daemon.Announce(gate.Announcement{
			Target: roster.TargetIncarnation{ID: "t", StartedMS: 2}, Service: "walks", State: roster.Serving, Slots: 4, Sequence: 1,
		})).To(Succeed())
		Expect(f.hosts[0].ready()).To(BeTrue())
	})

	// Guards against requests that fail because of a planned stop.
	It("answers all requests during a planned stop", func() {
		f := newFleet(3)
		for _, h := range f.hosts {
			h.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(150 * time.Millisecond)
				w.Header().Set("Seal", "s")
			})
		}
		var failed atomic.Int32
		var group sync.WaitGroup
		stopped := make(chan struct{})
		for n := range 3 {
			group.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stopped:
						return
					default:
					}
					// Callers of the stopping host use it as long as it reports that it is ready.
					if f.hosts[0].ready() || n > 0 {
						got := f.hosts[n].post("school-key", fmt.Sprintf("s%d-%d", n, i))
						if got.err != nil || got.status != http.StatusOK {
							failed.Add(1)
						}
					}
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		f.hosts[0].stop()
		Eventually(f.hosts[0].ended, "5s").Should(BeClosed())
		close(stopped)
		group.Wait()
		Expect(failed.Load()).To(BeZero())
	})

	It("uses its target again after a restart", func() {
		f := newFleet(1)
		f.hosts[0].stop()
		Eventually(f.hosts[0].ended, "5s").Should(BeClosed())
		f.start(f.hosts[0])
		Eventually(func() int { return f.hosts[0].get("/browse/1", "school-key").status }, "5s").Should(Equal(http.StatusOK))
	})

	// Guards against a restarted daemon that uses a target whose leaving its earlier process has acknowledged. The store
	// was out of reach then, so that its record still says that the target is serving.
	It("does not use a target after a restart whose leaving was acknowledged", func() {
		f := newFleet(2)
		leaving := f.hosts[0]
		f.store.setDown(true)
		Expect(leaving.daemon.Announce(gate.Announcement{Target: roster.TargetIncarnation{ID: "t", StartedMS: 1}, State: roster.Gone})).To(Succeed())
		leaving.stop()
		Eventually(leaving.ended, "5s").Should(BeClosed())
		f.store.setDown(false)
		f.startUnannounced(leaving)
		Eventually(leaving.ready, "5s").Should(BeTrue())
		leaving.mu.Lock()
		before := len(leaving.runs)
		leaving.mu.Unlock()
		// Longer than it takes until the host has read its record and others know the host.
		for i := range 60 {
			Expect(f.hosts[i%2].post("school-key", fmt.Sprintf("r%d", i)).status).To(Equal(http.StatusOK))
			time.Sleep(50 * time.Millisecond)
		}
		leaving.mu.Lock()
		defer leaving.mu.Unlock()
		Expect(leaving.runs).To(HaveLen(before))
	})

	// Guards against callers that wait for a hanging target.
	It("avoids a target that hangs", func() {
		f := newFleet(3)
		for i := range 30 {
			Expect(f.hosts[i%3].get(fmt.Sprintf("/browse/%d", i), "school-key").status).To(Equal(http.StatusOK))
		}
		f.hosts[0].setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		var group sync.WaitGroup
		var served atomic.Int32
		for i := range 60 {
			time.Sleep(20 * time.Millisecond)
			group.Go(func() {
				if f.hosts[i%3].get(fmt.Sprintf("/browse/h%d", i), "school-key").status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		group.Wait()
		Expect(served.Load()).To(BeNumerically(">=", 57))
	})

	It("is not ready without a policy", func() {
		f := &fleet{store: newStore()}
		h := f.add()
		Consistently(h.ready, "200ms").Should(BeFalse())
		got := h.get("/browse/1", "school-key")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.retryAfter).NotTo(BeEmpty())
		f.store.setPolicy(1, "school-key")
		Eventually(h.ready).Should(BeTrue())
	})
})

// ready returns the result of a readiness probe of the host.
func (h *host) ready() bool {
	response, err := http.Get("http://" + h.probes)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
