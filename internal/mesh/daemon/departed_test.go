package daemon_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// leave deregisters the host's target.
func (h *host) leave(target roster.TargetIncarnation) {
	Expect(h.daemon.Announce(gate.Announcement{Target: target, State: roster.Gone})).To(Succeed())
}

// runCount returns how many requests the host's target has received.
func (h *host) runCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runs)
}

// expectUnused sends bookings to all hosts, for longer than it takes until they know the records, and expects that none reaches the
// target of one of them.
func (f *fleet) expectUnused(h *host) {
	GinkgoHelper()
	before := h.runCount()
	for i := range 60 {
		Expect(f.hosts[i%len(f.hosts)].post("school-key", fmt.Sprintf("u%d", i)).status).To(Equal(http.StatusOK))
		time.Sleep(50 * time.Millisecond)
	}
	Expect(h.runCount()).To(Equal(before))
}

var _ = Describe("A target whose leaving was acknowledged", func() {
	// Guards against a planned stop that deletes the record of the leaving, so that the next process takes a late announcement for
	// that of a serving target (review/6).
	It("stays out of use after a planned stop when a late announcement arrives", func() {
		f := newFleet(2)
		leaving := f.hosts[0]
		leaving.leave(roster.TargetIncarnation{ID: "t"})
		leaving.stop()
		Eventually(leaving.ended, "5s").Should(BeClosed())
		f.startUnannounced(leaving)
		time.Sleep(rosterDelay)
		leaving.announce(roster.Serving, 9)
		f.expectUnused(leaving)
	})
})
