package problem_test

import (
	"encoding/json"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

var _ = Describe("Details", func() {
	// Guards against a refusal whose status in the body differs from that of the response, or whose body lacks the
	// run field.
	It("writes status, code, run and Retry-After", func() {
		recorder := httptest.NewRecorder()
		details := problem.New(problem.RateExceeded, problem.NotRun, "customer is over its rate")
		details.RetryAfter = 1200 * time.Millisecond
		Expect(details.Write(recorder)).To(Succeed())

		var got problem.Details
		Expect(json.Unmarshal(recorder.Body.Bytes(), &got)).To(Succeed())
		Expect(got.Status).To(Equal(recorder.Code))
		Expect(got.Code).To(Equal(problem.RateExceeded))
		Expect(got.Run).To(Equal(problem.NotRun))
		Expect(recorder.Header().Get("Retry-After")).To(Equal("2"))
		Expect(recorder.Header().Get("Content-Type")).To(Equal("application/problem+json"))
	})
})
