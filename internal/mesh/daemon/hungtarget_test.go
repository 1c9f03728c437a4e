package daemon_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against bookings that hang at their target until a planned stop breaks them off.
var _ = Describe("A booking that hangs at its target when its host is stopped", func() {
	const (
		grace = 2 * time.Second
		// timerDelay is how late the target reports that its deadline has passed.
		timerDelay = 50 * time.Millisecond
	)

	// hang answers usual requests at once. The others hang until the deadline that the target was given, which it reports.
	hang := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seal", "s")
		if strings.HasPrefix(r.Header.Get("Request-Id"), "usual") {
			return
		}
		left, err := strconv.Atoi(r.Header.Get(headers.Deadline))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		select {
		case <-time.After(time.Duration(left)*time.Millisecond + timerDelay):
			w.WriteHeader(http.StatusGatewayTimeout)
			fmt.Fprint(w, "deadline passed")
		case <-r.Context().Done():
		}
	}

	DescribeTable("gets the answer of its target", func(beforeStop time.Duration) {
		f := newFleetWithGrace(2, grace)
		for i, h := range f.hosts {
			h.setHandler(hang)
			for j := range 10 {
				Expect(h.post("school-key", fmt.Sprintf("usual-%d-%d", i, j)).status).To(Equal(http.StatusOK))
			}
		}
		answers := make(chan callResult, 1)
		stopping := f.hosts[0]
		if beforeStop > 0 {
			go func() { answers <- stopping.post("school-key", "hangs") }()
			Eventually(func() int { return f.runsOf("hangs") }, "2s").Should(Equal(1))
			time.Sleep(beforeStop)
			stopping.stop()
		} else {
			stopping.stop()
			time.Sleep(-beforeStop)
			go func() { answers <- stopping.post("school-key", "hangs") }()
		}
		var got callResult
		Eventually(answers, "5s").Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(got.body).To(Equal("deadline passed"))
		Expect(f.runsOf("hangs")).To(Equal(1))
	},
		Entry("when it began right before the stop", 50*time.Millisecond),
		Entry("when it came in the stop", -300*time.Millisecond),
	)
})
