package entry_test

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

var _ = Describe("a request's headers and key", func() {
	var s *stack
	var target *recordingTarget

	BeforeEach(func() {
		s = newStack(ginkgoCleaner{})
		target = &recordingTarget{}
		s.addGate("t1", 2, target.ServeHTTP)
	})

	// Guards against a key that reaches a target in any header.
	It("removes the key from every header", func() {
		request := s.request(http.MethodPost, "/book", strings.NewReader("seat"))
		request.Header.Set("X-Api-Key", validKey)
		request.Header.Set("Cookie", "a=b; k="+validKey)
		request.Header.Set("Proxy-Authorization", "Bearer "+validKey)
		request.Header.Set("Referer", "http://x/?k="+url.QueryEscape(validKey))
		Expect(s.do(request).status).To(Equal(http.StatusOK))
		Expect(target.dump()).To(ContainSubstring("POST"))
		Expect(target.dump()).NotTo(ContainSubstring(validKey))
		Expect(target.dump()).NotTo(ContainSubstring("Authorization"))
	})

	DescribeTable("a key in a place from which it cannot be removed",
		func(path, body string) {
			got := s.do(s.request(http.MethodPost, path, strings.NewReader(body)))
			Expect(got.problem.Code).To(Equal(problem.BadRequest))
			Expect(got.problem.Run).To(Equal(problem.NotRun))
			Expect(target.count()).To(BeZero())
		},
		Entry("query", "/book?key="+validKey, ""),
		Entry("percent-encoded query", "/book?key=k%2D3f9a77c2d1", ""),
		Entry("body", "/book", "key="+validKey),
	)

	// Guards against a key that reaches a target in the streamed part of a large body, also across the end of the
	// buffered prefix.
	DescribeTable("a key in a large body",
		func(at int) {
			body := strings.Repeat("x", at) + validKey + strings.Repeat("y", 100_000)
			got := s.do(s.request(http.MethodPost, "/book", strings.NewReader(body)))
			Expect(got.status).NotTo(Equal(http.StatusOK))
			Expect(target.dump()).NotTo(ContainSubstring(validKey))
		},
		Entry("across the end of the prefix", 64<<10-5),
		Entry("after the prefix", 90_000),
	)

	// Guards against callers that forge hop or identity headers.
	It("drops hop, connection and identity headers from callers", func() {
		request := s.request(http.MethodGet, "/browse", nil)
		for name, value := range map[string]string{
			"Bl-Attempt": strings.Repeat("1", 32), "Bl-Customer": "beta", "Bl-Valid-Until": "7:99999999",
			"Bl-Not-Run": "true", "X-Customer-Id": "beta", "X_Customer_Id": "beta", "x_customer-id": "beta",
			"X-Request-Timeout-Ms": "1", "X-Forwarded-For": "10.9.9.9", "Connection": "X-Hidden", "X-Hidden": "secret",
			"Te": "trailers", "X-Kept": "kept",
		} {
			request.Header[name] = []string{value}
		}
		Expect(s.do(request).status).To(Equal(http.StatusOK))
		dump := target.dump()
		Expect(dump).To(ContainSubstring("X-Customer-Id: alpha"))
		Expect(dump).To(ContainSubstring("X-Kept: kept"))
		for _, absent := range []string{"beta", "Bl-", "10.9.9.9", "secret", "Te:", "_"} {
			Expect(dump).NotTo(ContainSubstring(absent))
		}
	})

	// Guards against a path that is decoded twice: the customer's permission would be checked for another route than the
	// one whose path the target gets.
	It("matches the path as it was sent", func() {
		request := s.request(http.MethodPost, "/walks%2Fpermits", strings.NewReader("seat"))
		Expect(s.do(request).problem.Code).To(Equal(problem.RouteUnknown))
		s.directory.mu.Lock()
		defer s.directory.mu.Unlock()
		Expect(s.directory.matched).To(Equal("/walks%2Fpermits"))
	})

	DescribeTable("refusals before dispatch",
		func(prepare func(*directory), path, key string, code problem.Code) {
			prepare(s.directory)
			request := s.request(http.MethodPost, path, strings.NewReader("seat"))
			request.Header.Set("Authorization", key)
			got := s.do(request)
			Expect(got.problem.Code).To(Equal(code))
			Expect(got.problem.Run).To(Equal(problem.NotRun))

			// Guards against stating "not-run" for an idempotency key that an earlier send may have used.
			request = s.request(http.MethodPost, path, strings.NewReader("seat"))
			request.Header.Set("Authorization", key)
			request.Header.Set("Idempotency-Key", "order-1")
			s.ledger.next.Kind = 255
			got = s.do(request)
			Expect(got.problem.Run).To(Equal(problem.Unknown))
			Expect(target.count()).To(BeZero())
		},
		Entry("no key", func(*directory) {}, "/book", "", problem.KeyMissing),
		Entry("another scheme", func(*directory) {}, "/book", "Basic "+validKey, problem.KeyMissing),
		Entry("wrong key", func(*directory) {}, "/book", "Bearer k-other", problem.KeyInvalid),
		Entry("no route", func(*directory) {}, "/nowhere", "Bearer "+validKey, problem.RouteUnknown),
		Entry("dot segments", func(*directory) {}, "/book/%2e%2e/listed", "Bearer "+validKey, problem.BadRequest),
		Entry("customer not listed", func(*directory) {}, "/listed", "Bearer "+validKey, problem.RouteForbidden),
		Entry("quarantined", func(d *directory) { d.quarantined = true }, "/book", "Bearer "+validKey, problem.RequestQuarantined),
		Entry("over the rate", func(d *directory) { d.overRate = true }, "/book", "Bearer "+validKey, problem.RateExceeded),
		// Guards against running a request whose key was revoked between the entry's check and the dispatch.
		Entry("revoked on the way", func(d *directory) { d.revoked = true }, "/book", "Bearer "+validKey, problem.KeyInvalid),
		// Guards against running a request whose permission expired, for example while the entry was paused.
		Entry("permission expired", func(d *directory) { d.validFor = -time.Second }, "/book", "Bearer "+validKey, problem.ValidityExpired),
	)
})
