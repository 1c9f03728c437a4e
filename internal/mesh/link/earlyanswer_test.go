package link_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/traffic"
)

// Guards against the beginning of a result that is taken for a whole one, because the connection of its host was reset while the upload
// was still being written (MIXED).
var _ = Describe("A result without a length of an upload that is still written", func() {
	DescribeTable("is not whole when the host resets its connection",
		func(client *link.Client) {
			host, err := hoptest.NewEarlyTarget(func(*http.Request) string { return link.HeaderResult + ": ran answered 0 - - - 7\r\n" })
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(host.Close)
			upload := bytes.Repeat([]byte("u"), hoptest.UploadBytes)
			for range 5 {
				for _, early := range hoptest.EarlyAnswers() {
					host.SetNext(early)
					got := client.Send(context.Background(), id.HostID(host.Address()), &link.Attempt{
						Remaining: 5 * time.Second, Method: http.MethodPost, URI: "/photos/1", Host: "trails.example",
						Header: http.Header{}, Body: &link.Body{Rest: io.NopCloser(bytes.NewReader(upload)), Length: int64(len(upload))},
					}, quiet{})
					if got.Verdict != hop.Ran {
						continue
					}
					Expect(got.Rest).NotTo(BeNil(), "%v after %d bytes", early.Pause, early.Read)
					_, err := io.Copy(io.Discard, got.Rest)
					got.Close()
					Expect(err).To(HaveOccurred(), "%v after %d bytes", early.Pause, early.Read)
				}
			}
			Expect(host.Answers()).To(BeNumerically(">", 0))
		},
		Entry("on a plain connection", link.NewClient()),
		Entry("on a connection whose bytes are counted", link.NewCountingClient(traffic.NewMeter(func(id.HostID) bool { return true }))),
	)
})
