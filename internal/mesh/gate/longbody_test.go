package gate_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
)

var _ = Describe("Long bodies", func() {
	ctx := context.Background()

	// Guards against a target that breaks off its streamed responses and counts as sound.
	It("counts a streamed response that broke off as a failure of the target", func() {
		h := newHarness(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "s")
			w.Header().Set("Content-Length", "400000")
			_, _ = io.WriteString(w, strings.Repeat("x", 300<<10))
		})
		read := func() error {
			result, _ := h.sendRemote(ctx, attempt("", idempotent))
			if result.Rest == nil {
				return nil
			}
			defer result.Close()
			_, err := io.ReadAll(result.Rest)
			return err
		}
		for range 3 {
			Expect(read()).To(HaveOccurred())
			Eventually(h.gate.Idle).Should(BeTrue())
		}
		result, _ := h.sendRemote(ctx, attempt("", idempotent))
		defer result.Close()
		Expect(result.Reason).To(Equal(link.Reason(slots.Suspected)))
	})

	// Guards against a request that crashes targets while they stream its response, and leaves no evidence.
	It("reports a crash during a streamed response as evidence", func() {
		crash := make(chan struct{})
		h := newHarness(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "s")
			w.Header().Set("Content-Length", "400000")
			_, _ = io.WriteString(w, strings.Repeat("x", 300<<10))
			<-crash
			panic(http.ErrAbortHandler)
		})
		result, _ := h.sendRemote(ctx, attempt("", idempotent))
		Expect(result.Rest).NotTo(BeNil())
		Expect(h.listener.Close()).To(Succeed())
		close(crash)
		_, err := io.ReadAll(result.Rest)
		Expect(err).To(HaveOccurred())
		result.Close()
		Eventually(h.evidence.Any).Should(BeTrue())
	})

	// Guards against a local upload that its entry gives up after the time for the acknowledgement, or ends at a planned
	// stop because it does not seem to be running.
	It("signals the start of a local attempt with a long body", func() {
		h := newHarness(respond)
		s := &signals{}
		a := attempt("")
		a.Body = &link.Body{Rest: strings.NewReader(strings.Repeat("x", 300<<10)), Length: 300 << 10}
		Expect(h.gate.Do(ctx, a, s).Verdict).To(Equal(hop.Ran))
		Expect(s.names()).To(Equal([]string{"started"}))
		Expect(a.Body.Replayable()).To(BeFalse())
	})

	// Guards against a body that leaves its entry after the entry has given the attempt up.
	It("does not run an attempt whose body its entry no longer releases", func() {
		h := newHarness(respond)
		asked := false
		a := attempt("seats", func(a *link.Attempt) { a.Release = func() bool { asked = true; return false } })
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		result, _ := h.sendRemote(limited, a)
		Expect(asked).To(BeTrue())
		Expect(result.Verdict).To(Equal(hop.NotRun))
		Expect(h.requests()).To(BeEmpty())
		Eventually(h.gate.Idle).Should(BeTrue())
	})

	// Guards against an upload that is sent only once although nothing of it was read.
	It("leaves a long body to be sent again when it refuses the attempt", func() {
		h := newHarness(respond)
		Expect(h.announce(roster.Draining, 1, 2)).To(Succeed())
		a := attempt("")
		a.Body = &link.Body{Rest: strings.NewReader(strings.Repeat("x", 300<<10)), Length: 300 << 10}
		result, _ := h.sendRemote(ctx, a)
		Expect(result.Verdict).To(Equal(hop.NotRun))
		Expect(a.Body.Replayable()).To(BeTrue())
		Expect(h.announce(roster.Serving, 2, 1)).To(Succeed())
		result, _ = h.sendRemote(ctx, a)
		Expect(result.Verdict).To(Equal(hop.Ran))
		Expect(a.Body.Replayable()).To(BeFalse())
	})
})
