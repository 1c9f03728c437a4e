package daemon_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// Guards against a serving target that gets no requests from the stop signal of its host on: FLOOR in overlapping-stops of
// zfb-mesh-grown, seeds 106 to 115.
var _ = Describe("The target of a stopping host", func() {
	It("gets work of other hosts that ends before the stop does", func() {
		f := newFleetWithGrace(2, 10*time.Second)
		near, far := f.hosts[0], f.hosts[1]
		near.announce(roster.Draining, 2)
		far.stop()
		time.Sleep(200 * time.Millisecond)
		Expect(near.post("school-key", "in-the-stop").status).To(Equal(http.StatusOK))
		Expect(f.runsOf("in-the-stop")).To(Equal(1))
		Eventually(far.ended, "11s").Should(BeClosed())
	})
})
