package link_test

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

var _ = Describe("Attempt", func() {
	// Guards against fields that are lost or swapped in the encoding.
	It("is decoded as it was encoded", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			name := rapid.StringMatching(`[a-z0-9.-]{2,12}`)
			ms := rapid.Custom(func(t *rapid.T) time.Duration {
				return time.Duration(rapid.IntRange(0, 60000).Draw(t, "ms")) * time.Millisecond
			})
			want := link.Attempt{
				Service: id.ServiceName(name.Draw(t, "service")), Caller: id.ServiceName(name.Draw(t, "caller")),
				Route: id.RouteID(name.Draw(t, "route")), Customer: id.CustomerID(rapid.SampledFrom([]string{"", "school"}).Draw(t, "customer")),
				Rank: rapid.IntRange(0, 9).Draw(t, "rank"), Nested: rapid.Bool().Draw(t, "nested"),
				Idempotent: rapid.Bool().Draw(t, "idempotent"), Repeat: rapid.Bool().Draw(t, "repeat"), Forced: rapid.Bool().Draw(t, "forced"),
				Remaining: ms.Draw(t, "remaining"), Objective: ms.Draw(t, "objective"), MaxQueueWait: ms.Draw(t, "patience"),
				OverdueAfter: ms.Draw(t, "overdue"), Policy: policy.Version(rapid.Uint64Max(1<<40).Draw(t, "policy")),
				CustomerWork: time.Duration(rapid.IntRange(0, 100000).Draw(t, "work")) * 100 * time.Millisecond,
			}
			r := httptest.NewRequest("GET", "/", nil)
			want.Encode(r.Header)
			got, err := link.DecodeAttempt(r)
			if err != nil {
				t.Fatal(err)
			}
			got.Method, got.URI, got.Host, got.Header, got.Body = "", "", "", nil, nil
			if !reflect.DeepEqual(*got, want) {
				t.Fatalf("got %+v, want %+v", *got, want)
			}
		})
	})

	// Guards against a message that daemons of the previous version cannot read: they require eleven fields.
	It("sends the customer's work within the fields of the previous version", func() {
		header := http.Header{}
		(&link.Attempt{Service: "s", Caller: "c", Route: "r", Idempotent: true, CustomerWork: 1234 * time.Millisecond}).Encode(header)
		fields := strings.Fields(header.Get(link.HeaderAttempt))
		Expect(fields).To(HaveLen(11))
		Expect(fields[5]).To(Equal(".iBC"))
	})

	DescribeTable("rejects a malformed header",
		func(header string) {
			r := httptest.NewRequest("GET", "/", nil)
			r.Header = http.Header{link.HeaderAttempt: {header}}
			_, err := link.DecodeAttempt(r)
			Expect(err).To(MatchError(link.ErrMalformed))
		},
		Entry("empty", ""),
		Entry("too few fields", "a b c"),
		Entry("work of a customer that no time.Duration holds", "a b c d 1 .iJJJJJJJJJJJJ 1 1 1 1 1"),
		Entry("not a number", "a b c d x . 1 1 1 1 1"),
		Entry("negative duration", "a b c d 1 . -1 1 1 1 1"),
		Entry("duration that no time.Duration holds", "a b c d 1 . 9223372036855 1 1 1 1"),
	)
})

var _ = Describe("Body", func() {
	DescribeTable("is prefetched up to a limit",
		func(text string, length int64, whole bool) {
			b := &link.Body{Rest: strings.NewReader(text), Length: length}
			Expect(b.Prefetch(4)).To(Succeed())
			Expect(b.Whole()).To(Equal(whole))
			Expect(b.Replayable()).To(BeTrue())
			b.MarkSent()
			Expect(b.Replayable()).To(Equal(whole))
			if whole {
				Expect(string(b.Data)).To(Equal(text))
				Expect(b.Length).To(Equal(int64(len(text))))
			}
		},
		Entry("short", "abc", int64(3), true),
		Entry("short of unknown length", "abc", int64(-1), true),
		Entry("empty of unknown length", "", int64(-1), true),
		Entry("as long as the limit", "abcd", int64(4), true),
		Entry("longer than the limit", "abcde", int64(5), false),
	)
})
