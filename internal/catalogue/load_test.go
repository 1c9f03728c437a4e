package catalogue_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

const validFile = `
[[host]]
id = "trelew-1"
owner = "ops"
failure_domain = "trelew"

[[service]]
name = "reservas"
owner = "ops"
request_timeout = "5s"

[[customer]]
id = "parks"
owner = "sales"
class = "large"
rate_per_second = 50
burst = 100

[[route]]
id = "book"
owner = "ops"
service = "reservas"
path_prefix = "/bookings"
methods = ["POST", "DELETE"]
customers = ["parks"]
revision = 7
`

var _ = Describe("Load", func() {
	// Guards against wrong defaults, and against equal entries that differ by the order of their lists.
	It("reads entries with defaults", func() {
		file, err := catalogue.Load("c.toml", []byte(validFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(file.CheckReferences(catalogue.Empty())).To(Succeed())
		service := file.Entries[1].Entry.(*catalogue.Service)
		Expect(service.ProgressTimeout).To(Equal(5 * time.Second))
		Expect(service.MinHealthyFraction).To(Equal(catalogue.DefaultMinHealthyFraction))
		route := file.Entries[3].Entry.(*catalogue.Route)
		Expect(route.Methods).To(Equal([]string{"DELETE", "POST"}))
		Expect(file.Entries[3].Base).To(Equal(catalogue.Revision(7)))
	})

	// Guards against reporting only the first error, or an error without its line.
	It("reports every error with its line", func() {
		_, err := catalogue.Load("c.toml", []byte(`colour = "red"

[[host]]
id = "Trelew 1"
failure_domain = "trelew"

[[service]]
name = "s"
owner = "ops"
queue_limt = 5

[[customer]]
id = "parks"
owner = "ops"
rate_per_second = "fast"
burst = 1

[[route]]
id = "r"
owner = "ops"
service = "s"
path_prefix = "/a/../b"

[[service]]
name = "s"
owner = "ops"
`))
		var fileErrors catalogue.FileErrors
		Expect(errors.As(err, &fileErrors)).To(BeTrue())
		got := map[string]int{}
		for _, m := range fileErrors {
			Expect(m.File).To(Equal("c.toml"))
			Expect(m.Reason).NotTo(BeEmpty())
			got[m.Key] = m.Line
		}
		Expect(got).To(Equal(map[string]int{
			"colour": 1, "host.id": 4, "host.owner": 3, "service.queue_limt": 10,
			"customer.rate_per_second": 15, "route.path_prefix": 22, "route.customers": 18, "service": 24,
		}))
	})

	// Guards against rendered entries that are not equal after they are loaded again.
	It("reads what Render writes", func() {
		file, err := catalogue.Load("c.toml", []byte(validFile))
		Expect(err).NotTo(HaveOccurred())
		var entries []catalogue.Entry
		for i, e := range file.Entries {
			entries = append(entries, catalogue.WithRevision(e.Entry, catalogue.Revision(i+1)))
		}
		data, err := catalogue.Render(entries)
		Expect(err).NotTo(HaveOccurred())
		again, err := catalogue.Load("r.toml", data)
		Expect(err).NotTo(HaveOccurred())
		for i, e := range again.Entries {
			Expect(catalogue.SameContent(e.Entry, entries[i])).To(BeTrue())
			Expect(e.Base).To(Equal(catalogue.Revision(i + 1)))
		}
	})

	// Guards against a syntax error that is reported without its line.
	It("reports the line of a syntax error", func() {
		_, err := catalogue.Load("c.toml", []byte("[[host]]\nid = \n"))
		var fileErrors catalogue.FileErrors
		Expect(errors.As(err, &fileErrors)).To(BeTrue())
		Expect(fileErrors[0].Line).To(Equal(2))
	})

	// Guards against references to missing entries and routes that match the same requests.
	It("checks references", func() {
		file, err := catalogue.Load("c.toml", []byte(`
[[route]]
id = "a"
owner = "ops"
service = "none"
path_prefix = "/x"
open_to_all = true
[[route]]
id = "b"
owner = "ops"
service = "none"
path_prefix = "/x"
customers = ["nobody"]
`))
		Expect(err).NotTo(HaveOccurred())
		var fileErrors catalogue.FileErrors
		Expect(errors.As(file.CheckReferences(catalogue.Empty()), &fileErrors)).To(BeTrue())
		var lines []int
		for _, m := range fileErrors {
			lines = append(lines, m.Line)
		}
		Expect(lines).To(Equal([]int{5, 6, 11, 12, 13}))
	})
})

// FuzzLoad guards against panics on any input, and against entries that pass
// Load but not Validate.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[[delete]]\nkind = \"route\"\nid = \"a\"\n"))
	f.Add([]byte("host = [{id = \"a\"}]\n[route]\nx = 1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := catalogue.Load("f.toml", data)
		if err != nil {
			return
		}
		for _, e := range file.Entries {
			if problems := catalogue.Validate(e.Entry); len(problems) > 0 {
				t.Fatalf("accepted an invalid entry: %v", problems)
			}
		}
		_ = file.CheckReferences(catalogue.Empty())
	})
}
