package gate_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

var _ = Describe("An evacuated failure domain", func() {
	ctx := context.Background()
	expectRefused := func(result *link.Result) {
		GinkgoHelper()
		Expect(result.Verdict).To(Equal(hop.NotRun))
		Expect(result.Reason).To(Equal(link.Evacuated))
	}

	// Guards against attempts that reach the target of an evacuated domain from the queue, and against runs that the evacuation
	// breaks off.
	It("gets no new and no queued attempt, and ends those in flight normally", func() {
		release := make(chan struct{})
		h := newHarness(func(w http.ResponseWriter, r *http.Request) {
			<-release
			respond(w, r)
		})
		results := make(chan *link.Result, 3)
		for range 3 {
			go func() {
				result, _ := h.sendRemote(ctx, attempt("", func(a *link.Attempt) { a.MaxQueueWait, a.Remaining = time.Second, 5*time.Second }))
				results <- result
			}()
		}
		Eventually(func() int { return len(h.requests()) }).Should(Equal(2))
		time.Sleep(100 * time.Millisecond)
		h.gate.SetEvacuation(true)
		var first *link.Result
		Eventually(results).Should(Receive(&first))
		expectRefused(first)
		result, _ := h.sendRemote(ctx, attempt(""))
		expectRefused(result)
		close(release)
		for range 2 {
			var result *link.Result
			Eventually(results).Should(Receive(&result))
			Expect(result.Verdict).To(Equal(hop.Ran))
		}
		Expect(h.requests()).To(HaveLen(2))
		h.gate.SetEvacuation(false)
		result, _ = h.sendRemote(ctx, attempt(""))
		Expect(result.Verdict).To(Equal(hop.Ran))
	})

	// Guards against an attempt that got its slot before the evacuation and is sent after it.
	It("gets no attempt that has a slot and was not sent", func() {
		h := newHarness(respond)
		h.mu.Lock()
		h.dispatched = func() { h.gate.SetEvacuation(true) }
		h.mu.Unlock()
		result, _ := h.sendRemote(ctx, attempt(""))
		expectRefused(result)
		Expect(h.requests()).To(BeEmpty())
	})

	// Guards against a process that starts in an evacuated domain and admits attempts before it knows of the evacuation.
	It("gets nothing from a process that does not know whether it is evacuated", func() {
		h := newHarness(respond)
		restarted := gate.New(h.gate.Config())
		restarted.RecordRead(false)
		Expect(restarted.Announce(h.announcement(roster.Serving, 1, 9))).To(Succeed())
		result := restarted.Do(ctx, attempt(""), &signals{})
		Expect(result.Verdict).To(Equal(hop.NotRun))
		Expect(result.Reason).To(Equal(link.Reason(slots.NoTarget)))
		restarted.SetEvacuation(false)
		Expect(restarted.Do(ctx, attempt(""), &signals{}).Verdict).To(Equal(hop.Ran))
	})
})
