package entry_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/entry"
)

var _ = Describe("the record of a run", func() {
	DescribeTable("kept answers",
		func(size int, kept bool) {
			s := newStack(ginkgoCleaner{})
			s.addGate("t1", 1, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/b/1")
				w.Header().Set("Set-Cookie", "private=1")
				_, _ = w.Write(make([]byte, size))
			})
			Expect(s.book().body).To(HaveLen(size))
			Eventually(s.ledger.recordedOutcomes).Should(HaveLen(1))
			outcome := s.ledger.recordedOutcomes()[0]
			Expect(outcome.Kind).To(Equal(entry.RunAnswered))
			Expect(outcome.Kept).To(Equal(kept))
			if kept {
				Expect(outcome.Recorded.Body).To(HaveLen(size))
				Expect(outcome.Recorded.Header).To(HaveKey("Location"))
				Expect(outcome.Recorded.Header).NotTo(HaveKey("Set-Cookie"))
			}
		},
		// Guards against recording a part of an answer, which a replay would return.
		Entry("at the limit", 64<<10, true),
		Entry("above the limit", 64<<10+1, false),
	)

	// Guards against a claim that stays open after its caller has disconnected.
	It("ends as unknown when the caller disconnects", func() {
		s := newStack(ginkgoCleaner{})
		started := make(chan struct{})
		target := &recordingTarget{serve: func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
		}}
		s.addGate("t1", 1, target.ServeHTTP)
		request := s.request(http.MethodPost, "/book", strings.NewReader("seat"))
		request.Header.Set("Idempotency-Key", "order-1")
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			s.do(request.WithContext(ctx))
		}()
		Eventually(started).Should(BeClosed())
		cancel()
		Eventually(s.ledger.recordedOutcomes, "3s").Should(HaveLen(1))
		Expect(s.ledger.recordedOutcomes()[0].Kind).To(Equal(entry.RunUnknown))
	})
})
