package link_test

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// quiet ignores signals.
type quiet struct{}

func (quiet) Queued()        {}
func (quiet) Started()       {}
func (quiet) Overdue()       {}
func (quiet) CancelAdvised() {}

// Guards against bytes that are no answer of a gate and are taken for its result.
var _ = Describe("What a host sends in place of a result", func() {
	for _, answer := range hoptest.NoAnswers() {
		It("proves nothing: "+answer.Name, func() {
			for _, result := range []string{"ran answered", "not-run target-declined"} {
				fields := link.HeaderResult + ": " + result + " 0 - - - 7\r\n"
				host, err := hoptest.NewTarget(func(conn net.Conn, _ *http.Request) bool { return answer.Send(conn, fields) })
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(host.Close)
				client := link.NewClient()
				for range 2 {
					got := client.Send(context.Background(), id.HostID(host.Address()), &link.Attempt{
						Idempotent: true, Remaining: time.Second, Method: http.MethodGet, URI: "/browse/1", Host: "trails.example",
						Header: http.Header{}, Body: &link.Body{},
					}, quiet{})
					Expect(got.Verdict).To(Equal(hop.Unknown), "%s: %+v", result, got)
					Expect(got.Status).To(BeZero())
				}
				Expect(host.Conns()).To(Equal(2))
			}
		})
	}
})
