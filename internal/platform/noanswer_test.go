package platform_test

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// Guards against bytes that are no answer of the platform and count as its success or as proof that nothing was written.
var _ = Describe("What the platform sends in place of an answer", func() {
	for _, answer := range hoptest.NoAnswers() {
		It("proves nothing: "+answer.Name, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			for _, body := range []string{"", `{"code":"unavailable"}`} {
				length := "0"
				if body != "" {
					length = "22"
				}
				server, err := hoptest.NewTarget(func(conn net.Conn, _ *http.Request) bool {
					return answer.Send(conn, "Content-Type: application/protobuf\r\nContent-Length: "+length+"\r\n\r\n"+body)
				})
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(server.Close)
				client := platform.NewClient("http://"+server.Address(), &http.Client{Transport: hop.CheckedTransport(&http.Transport{})})
				_, err = client.Table().Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: "a", Value: []byte("1")}}})
				Expect(err).To(BeAssignableToTypeOf(&platform.OutcomeUnknownError{}), "%v", err)
				rows, err := client.Table().Get(ctx, []string{"a"})
				Expect(err).To(HaveOccurred(), "%+v", rows)
			}
		})
	}
})
