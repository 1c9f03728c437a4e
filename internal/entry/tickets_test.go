package entry_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

var _ = Describe("tickets", func() {
	// Guards against tickets without a valid key, above the limit of one request or beyond the customer's rate limit.
	It("are issued to authenticated customers within bounds", func() {
		s := newStack(ginkgoCleaner{})
		path := "/.buckthornlatch/v1/tickets"
		got := s.do(s.request(http.MethodPost, path+"?count=3", nil))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(MatchJSON(`{"tickets":["alpha-0","alpha-1","alpha-2"]}`))
		Expect(s.directory.admitted).To(Equal(1))

		Expect(s.do(s.request(http.MethodPost, path+"?count=101", nil)).problem.Code).To(Equal(problem.BadRequest))
		Expect(s.do(s.request(http.MethodGet, path, nil)).problem.Code).To(Equal(problem.BadRequest))
		request := s.request(http.MethodPost, path, nil)
		request.Header.Del("Authorization")
		Expect(s.do(request).problem.Code).To(Equal(problem.KeyMissing))
		s.directory.overRate = true
		Expect(s.do(s.request(http.MethodPost, path, nil)).problem.Code).To(Equal(problem.RateExceeded))
	})
})
