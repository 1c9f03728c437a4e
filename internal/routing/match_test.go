package routing_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/routing"
)

var _ = Describe("Match", func() {
	snapshot := func() *catalogue.Snapshot {
		s, err := catalogue.Build(1, catalogue.History{}, []catalogue.Entry{
			&catalogue.Route{ID: "root", PathPrefix: "/"},
			&catalogue.Route{ID: "walks", PathPrefix: "/walks"},
			&catalogue.Route{ID: "walks-post", PathPrefix: "/walks", Methods: []string{"POST"}},
			&catalogue.Route{ID: "permits", PathPrefix: "/walks/permits", Methods: []string{"GET"}},
			&catalogue.Route{ID: "host", Host: "trails.example", PathPrefix: "/walks"},
		})
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	DescribeTable("precedence and path forms",
		func(host, method, path, want string) {
			got := ""
			if route := routing.Match(snapshot(), routing.Request{Host: host, Method: method, Path: path}); route != nil {
				got = string(route.ID)
			}
			Expect(got).To(Equal(want))
		},
		Entry("root", "", "GET", "/", "root"),
		Entry("any other path", "", "GET", "/other/x", "root"),
		Entry("exact", "", "GET", "/walks", "walks"),
		Entry("trailing slash", "", "GET", "/walks/", "walks"),
		Entry("longest prefix", "", "GET", "/walks/permits/3", "permits"),
		Entry("shorter prefix when the method differs", "", "PUT", "/walks/permits/3", "walks"),
		Entry("listed method first", "", "POST", "/walks/3", "walks-post"),
		Entry("whole segments only", "", "GET", "/walksx", "root"),
		Entry("host before longer prefix", "Trails.Example:8080", "GET", "/walks/permits/3", "host"),
		Entry("fallback to every host", "trails.example", "GET", "/other", "root"),
		Entry("escaped letter", "", "GET", "/%77alks", "walks"),
		Entry("escaped slash", "", "GET", "/walks%2Fpermits", ""),
		Entry("parent segment", "", "GET", "/other/../walks", ""),
		Entry("escaped parent segment", "", "GET", "/other/%2e%2E/walks", ""),
		Entry("empty segment", "", "GET", "//walks", ""),
		Entry("backslash", "", "GET", "/x%5c..%5cwalks", ""),
		Entry("no path", "", "OPTIONS", "*", ""),
	)

	// Guards against admitting a customer whom the route does not list.
	It("admits only listed customers", func() {
		listed := &catalogue.Route{Customers: []id.CustomerID{"a", "c"}}
		Expect(routing.Allows(listed, "c")).To(BeTrue())
		Expect(routing.Allows(listed, "b")).To(BeFalse())
		Expect(routing.Allows(&catalogue.Route{OpenToAll: true}, "b")).To(BeTrue())
	})
})
