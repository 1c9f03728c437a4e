package daemon_test

import (
	"context"
	"encoding/json"
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
	h.setHealthy("")
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

// recordOf returns the record of a host in the store.
func (f *fleet) recordOf(h *host) roster.Record {
	GinkgoHelper()
	rows, err := f.store.memory.Table().Scan(context.Background(), "hosts/"+string(h.address), "", 1)
	Expect(err).NotTo(HaveOccurred())
	Expect(rows.Rows).To(HaveLen(1))
	var record roster.Record
	Expect(json.Unmarshal(rows.Rows[0].Value, &record)).To(Succeed())
	return record
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

	// Guards against a process that replaces the record of the leaving, which it has not read yet, because of a late announcement.
	It("stays in the record when a late announcement comes before the record was read", func() {
		f := newFleet(2)
		leaving := f.hosts[0]
		leaving.leave(roster.TargetIncarnation{ID: "t"})
		leaving.stop()
		Eventually(leaving.ended, "5s").Should(BeClosed())
		f.store.setDownPrefix("hosts/")
		f.startUnannounced(leaving)
		leaving.announce(roster.Serving, 9)
		Consistently(func() roster.State { return f.recordOf(leaving).State }, "500ms").Should(Equal(roster.Gone))
		f.store.setDownPrefix("")
		time.Sleep(rosterDelay)
		leaving.announce(roster.Serving, 10)
		f.expectUnused(leaving)
		Expect(f.recordOf(leaving).State).To(Equal(roster.Gone))
	})

	// Guards against a write of an earlier process that the store performs late and that the present process takes back.
	It("stays out of use when the record of it is written late", func() {
		f := newFleet(2)
		leaving := f.hosts[0]
		record := f.recordOf(leaving)
		record.State = roster.Gone
		record.Departed = record.Departed.With(record.Target)
		f.store.put("hosts/"+string(leaving.address), record)
		Eventually(func() bool { return leaving.ready() }, "4s").Should(BeFalse())
		f.expectUnused(leaving)
		Expect(f.recordOf(leaving).State).To(Equal(roster.Gone))
	})

	// Guards against a leaving that is acknowledged while the store is out of reach, and of which the next process knows nothing
	// when a late announcement arrives (review/8).
	It("stays out of use after a restart although the store has no record of it when a late announcement arrives", func() {
		f := newFleet(2)
		leaving := f.hosts[0]
		f.store.setDown(true)
		leaving.leave(roster.TargetIncarnation{ID: "t"})
		leaving.stop()
		Eventually(leaving.ended, "5s").Should(BeClosed())
		f.store.setDown(false)
		f.startUnannounced(leaving)
		time.Sleep(rosterDelay)
		leaving.announce(roster.Serving, 9)
		f.expectUnused(leaving)
		// A target that has started anew is used.
		leaving.setHealthy("t")
		Expect(leaving.daemon.Announce(gate.Announcement{
			Target: roster.TargetIncarnation{ID: "t", StartedMS: 2}, Service: leaving.service, State: roster.Serving, Slots: 4, Sequence: 1,
		})).To(Succeed())
		before := leaving.runCount()
		Eventually(func() int {
			leaving.get("/browse/1", "school-key")
			return leaving.runCount()
		}, "2s").Should(BeNumerically(">", before))
	})
})

var _ = Describe("A host that restarts", func() {
	// Guards against requests that are refused after a restart, because the host takes itself for a new one when its target announces
	// itself before its record was read.
	It("grants the rates of its customers at once", func() {
		f := newFleet(1)
		h := f.hosts[0]
		Eventually(func() int { return h.post(limitedKey, "before").status }, "10s").Should(Equal(http.StatusOK))
		h.stop()
		Eventually(h.ended, "5s").Should(BeClosed())
		f.store.setDownPrefix("hosts/")
		f.startUnannounced(h)
		h.announce(roster.Serving, 9)
		time.Sleep(rosterDelay)
		reached := make(chan struct{}, 1)
		h.setOnLine(func(message string) {
			if message == "sync: store is reachable" {
				reached <- struct{}{}
			}
		})
		f.store.setDownPrefix("")
		Eventually(reached, "10s").Should(Receive())
		Eventually(func() int { return h.post(limitedKey, "after").status }, "500ms").Should(Equal(http.StatusOK))
	})
})
