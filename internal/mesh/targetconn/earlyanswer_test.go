package targetconn_test

import (
	"bytes"
	"context"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/hop/hoptest"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

var _ = Describe("An answer to an upload that is still written", func() {
	// Guards against the beginning of an answer without a length that is taken for a whole one: a reset that the write of the upload
	// has reported looks like the end of the answer to the read (MIXED).
	It("is not whole when its connection is reset", func() {
		target, err := hoptest.NewEarlyTarget(func(*http.Request) string { return "Request-Id: 1\r\nSeal: 3e1b.07.5a2\r\n" })
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		pool := targetconn.New(target.Address())
		upload := bytes.Repeat([]byte("u"), hoptest.UploadBytes)
		whole := 0
		for range 10 {
			for _, early := range hoptest.EarlyAnswers() {
				target.SetNext(early)
				request := newRequest("1")
				request.Body, request.Rest, request.Length = upload[:targetconnBody], io.NopCloser(bytesReader(upload[targetconnBody:])), int64(len(upload))
				response, err := pool.Do(context.Background(), request)
				if err == nil && response.Rest != nil {
					_, err = io.Copy(io.Discard, response.Rest)
					Expect(response.Rest.Close()).To(Succeed())
				}
				if err == nil {
					whole++
				}
			}
		}
		Expect(whole).To(BeZero())
	})
})

// targetconnBody is the part of the uploads that is in memory.
const targetconnBody = 64 << 10
