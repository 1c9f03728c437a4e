package daemon_test

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a grace period that is counted from when the signal is noticed, so that the process is killed with requests at work.
var _ = Describe("A stop signal that is noticed late", func() {
	const grace = 6 * time.Second

	// hang waits for the deadline that the target was given and reports it.
	hang := func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get(headers.Deadline))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		select {
		case <-time.After(time.Duration(left) * time.Millisecond):
			w.Header().Set("Seal", "s")
			w.WriteHeader(http.StatusGatewayTimeout)
		case <-r.Context().Done():
		}
	}

	// stopLate stops the first host of a fleet, which notices the signal late. It returns the host and when it would be killed.
	stopLate := func(f *fleet, late time.Duration) (*host, time.Time) {
		h := f.hosts[0]
		noticed := make(chan struct{})
		h.setOnLine(func(message string) {
			if message == "daemon: draining" {
				close(noticed)
			}
		})
		killed := time.Now().Add(grace - late)
		h.stop()
		Eventually(noticed, "5s").Should(BeClosed())
		return h, killed
	}

	It("leaves requests the time until the process is killed", func() {
		const late = 2500 * time.Millisecond
		f := newFleetWithGrace(2, grace)
		f.noticeLate(late)
		for _, h := range f.hosts {
			h.setHandler(hang)
		}
		h, killed := stopLate(f, late)
		got := h.send(http.MethodPost, "/photos/hangs", "school-key", "hangs")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(f.runsOf("hangs")).To(Equal(1))
		Eventually(h.ended, "10s").Should(BeClosed())
		Expect(time.Now()).To(BeTemporally("<", killed))
	})

	It("is followed by a drain that answers what is at work before the process is killed", func() {
		const late = 3500 * time.Millisecond
		f := newFleetWithGrace(2, grace)
		f.noticeLate(late)
		for _, h := range f.hosts {
			h.setHandler(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		}
		answers := make(chan callResult, 1)
		go func() { answers <- f.hosts[0].send(http.MethodPost, "/photos/hangs", "school-key", "hangs") }()
		Eventually(func() int { return f.runsOf("hangs") }, "2s").Should(Equal(1))
		h, killed := stopLate(f, late)
		var got callResult
		Eventually(answers, "10s").Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Eventually(h.ended, "10s").Should(BeClosed())
		Expect(time.Now()).To(BeTemporally("<", killed))
	})

	It("is followed by refusals at once when half of the grace period is over", func() {
		const late = 3500 * time.Millisecond
		f := newFleetWithGrace(2, grace)
		f.noticeLate(late)
		h, _ := stopLate(f, late)
		Eventually(func() bool {
			got := h.post("school-key", "refused")
			return got.err != nil || got.status == http.StatusServiceUnavailable
		}, "1s", "10ms").Should(BeTrue())
	})

	It("still leaves time to answer when the delay may have been longer than the grace period", func() {
		f := newFleetWithGrace(2, grace)
		f.noticeLate(time.Minute)
		for _, h := range f.hosts {
			h.setHandler(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(500 * time.Millisecond)
				w.Header().Set("Seal", "s")
			})
		}
		answers := make(chan callResult, 1)
		go func() { answers <- f.hosts[0].post("school-key", "works") }()
		Eventually(func() int { return f.runsOf("works") }, "2s").Should(Equal(1))
		f.hosts[0].stop()
		var got callResult
		Eventually(answers, "10s").Should(Receive(&got))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK))
	})
})
