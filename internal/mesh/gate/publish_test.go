package gate_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

var _ = Describe("The record of a host", func() {
	// Guards against a record with new evidence that was taken before a target announced its leaving and is published
	// after it: the store would hold the target as serving, and a restarted daemon would use it again.
	It("is never followed by an earlier one", func() {
		h := newHarness(respond)
		release := make(chan struct{})
		h.mu.Lock()
		h.published, h.publishBlocked = nil, release
		h.mu.Unlock()
		last := func() roster.State {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.published[len(h.published)-1].State
		}
		count := func() int {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.published)
		}
		ended := make(chan struct{}, 2)
		go func() { h.gate.Publish(); ended <- struct{}{} }()
		Eventually(count).Should(Equal(1))
		go func() {
			defer GinkgoRecover()
			Expect(h.announce(roster.Draining, 1, 2)).To(Succeed())
			ended <- struct{}{}
		}()
		Consistently(count, "100ms").Should(Equal(1))
		close(release)
		Eventually(ended).Should(HaveLen(2))
		Expect(count()).To(Equal(2))
		Expect(last()).To(Equal(roster.Draining))
	})
})
