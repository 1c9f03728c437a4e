package e2e_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/gomega"
)

const (
	// largeCustomer stays far below its rate in all tests.
	largeCustomer = "museo"
	// tightCustomer sends several times its rate.
	tightCustomer = "escuela"
	// tightRate and tightBurst are the limits of tightCustomer, in requests per second and requests.
	tightRate, tightBurst = 20, 20
	largeRate             = 400
)

// catalogueText is the catalogue without its hosts and customers.
const catalogueText = `
[[service]]
name = "reservas"
owner = "senderos"
min_healthy_fraction = 0.5
queue_limit = 64
queue_limit_per_customer = 32
request_timeout = "15s"
progress_timeout = "2s"

[[route]]
id = "look-up"
owner = "senderos"
service = "reservas"
path_prefix = "/walks"
methods = ["GET"]
idempotent = true
open_to_all = true

[[route]]
id = "book"
owner = "senderos"
service = "reservas"
path_prefix = "/bookings"
methods = ["POST"]
open_to_all = true
`

// customerText is the catalogue entry of a customer.
func customerText(name string, rate, burst int, revision uint64) string {
	text := fmt.Sprintf("[[customer]]\nid = %q\nowner = \"senderos\"\nrate_per_second = %d\nburst = %d\n", name, rate, burst)
	if revision > 0 {
		text += fmt.Sprintf("revision = %d\n", revision)
	}
	return text
}

// writeFile writes a file of the fleet and returns its name.
func (f *fleet) writeFile(name, text string) string {
	file := filepath.Join(f.dir, name)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

// catalogue is the first catalogue without customers.
func (f *fleet) catalogue() string {
	var b strings.Builder
	b.WriteString(catalogueText)
	for _, h := range f.hosts {
		fmt.Fprintf(&b, "[[host]]\nid = %q\nowner = \"senderos\"\nfailure_domain = %q\n", h.name, h.domain)
	}
	return b.String()
}

// customers are the catalogue's customers.
func (f *fleet) customers() string {
	return customerText(largeCustomer, largeRate, largeRate, 0) + customerText(tightCustomer, tightRate, tightBurst, 0)
}
