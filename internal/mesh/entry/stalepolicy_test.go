package entry_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against refusals that never become final where the operator allows a longer delay of a configuration, and against
// final ones of a host that may lack a change.
var _ = DescribeTable("An unknown key is refused for good only by a configuration that may be taken for the newest one",
	func(bound, age time.Duration, want int) {
		h := newHarness(1)
		h.policyBound, h.policyAge = bound, age
		response := h.do("GET", "/browse/1", "", func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") })
		Expect(response.Code).To(Equal(want))
	},
	Entry("bound of 7 s, confirmed 6 s ago", 7*time.Second, 6*time.Second, http.StatusUnauthorized),
	Entry("bound of 7 s, confirmed 15 s ago", 7*time.Second, 15*time.Second, http.StatusServiceUnavailable),
	Entry("bound of 2 s, confirmed 6 s ago", 2*time.Second, 6*time.Second, http.StatusServiceUnavailable),
)
