package daemon_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against connections that end without an answer and without a line in the daemon's log.
var _ = Describe("A panic of a handler", func() {
	It("is logged", func() {
		f := newFleet(1)
		reported := make(chan struct{}, 1)
		f.hosts[0].setOnLine(func(message string) {
			if message == "daemon: server reported an error" {
				reported <- struct{}{}
			}
		})
		response, err := http.Get("http://" + f.hosts[0].probes + panicPath)
		if err == nil {
			_ = response.Body.Close()
		}
		Expect(err).To(HaveOccurred())
		Eventually(reported).Should(Receive())
	})
})
