package policy_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

var _ = Describe("Snapshot", func() {
	route := func(name, host, prefix string) policy.Route {
		return policy.Route{
			ID: id.RouteID(name), Host: host, Prefix: prefix, MaxAttempts: 1, Services: []policy.WeightedService{{Service: "walks", Weight: 1}},
		}
	}
	build := func() *policy.Snapshot {
		s, err := policy.Build(policy.Document{Version: 1, Services: []string{"walks"}, Routes: []policy.Route{
			route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/"),
		}})
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	DescribeTable("matches the longest prefix at the host",
		func(host, path, want string) {
			got := ""
			if r := build().Match(host, path); r != nil {
				got = string(r.ID)
			}
			Expect(got).To(Equal(want))
		},
		Entry("short", "a.example", "/x/z", "short"),
		Entry("long", "A.Example:80", "/x/y/z", "long"),
		Entry("the prefix itself", "a.example", "/x/y/", "long"),
		Entry("without its slash", "a.example", "/x/y", "short"),
		Entry("root", "b.example", "/anything", "other"),
		Entry("no prefix", "a.example", "/z", ""),
		Entry("unknown host", "c.example", "/x/", ""),
		Entry("no path", "a.example", "*", ""),
	)

	// Guards against a route that is silently shadowed by another one.
	It("serves neither of two routes with one host and prefix", func() {
		s, err := policy.Build(policy.Document{Version: 1, Services: []string{"walks"}, Routes: []policy.Route{
			route("one", "a.example", "/x/"), route("two", "A.example", "/x/"),
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Match("a.example", "/x/1").Unservable).NotTo(BeEmpty())
		Expect(s.Warnings()).To(HaveLen(1))
		Expect(s.Warnings()[0].Item).To(Equal("route two"))
	})
})
