package gate_test

import (
	"context"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// Guards against attempts that a stopping gate admits and that the stop then breaks off.
var _ = Describe("A gate whose host stops", func() {
	It("tells the target to end the work before the stop does", func() {
		h := newHarness(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headers.Seal, "s") })
		h.stopTime = 20 * time.Second
		h.gate.StopBy(h.clock.Now().Add(8*time.Second), h.clock.Now().Add(8*time.Second))
		result, _ := h.sendRemote(context.Background(), attempt("seats", func(a *link.Attempt) { a.Remaining = 30 * time.Second }))
		Expect(result.Verdict).To(Equal(hop.Ran))
		given, err := strconv.Atoi(h.requests()[0].Header.Get(headers.Deadline))
		Expect(err).NotTo(HaveOccurred())
		Expect(given).To(BeNumerically("<=", 8000))
		Expect(h.gate.RunsEarlier()).To(BeFalse())
	})

	It("admits nothing that may outlast the stop", func() {
		h := newHarness(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headers.Seal, "s") })
		h.gate.StopBy(h.clock.Now().Add(time.Millisecond), h.clock.Now().Add(time.Millisecond))
		result, _ := h.sendRemote(context.Background(), attempt("seats"))
		Expect(result.Reason).To(Equal(link.GateDraining))
		Expect(h.requests()).To(BeEmpty())
	})

	It("knows the attempts that came before the stop", func() {
		release := make(chan struct{})
		h := newHarness(respondAfter(release))
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.sendRemote(context.Background(), attempt("seats"))
		}()
		Eventually(h.requests).Should(HaveLen(1))
		h.gate.StopBy(h.clock.Now().Add(time.Minute), h.clock.Now().Add(time.Minute))
		Expect(h.gate.RunsEarlier()).To(BeTrue())
		close(release)
		<-done
		Eventually(h.gate.RunsEarlier).Should(BeFalse())
	})
})
