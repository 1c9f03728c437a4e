package daemon_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crashOn makes the host's target crash on a request whose path has the suffix. The target listens again after 300 ms. To
// the gate it is the same incarnation, because it announces no new one.
func (h *host) crashOn(suffix string) {
	address := strings.TrimPrefix(h.target.URL, "http://")
	var mu sync.Mutex
	current := h.target.Listener
	h.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, suffix) {
			w.Header().Set("Seal", "s")
			fmt.Fprint(w, "done")
			return
		}
		mu.Lock()
		_ = current.Close()
		mu.Unlock()
		conn, _, err := http.NewResponseController(w).Hijack()
		Expect(err).NotTo(HaveOccurred())
		_ = conn.Close()
		time.AfterFunc(300*time.Millisecond, func() {
			defer GinkgoRecover()
			listener, err := net.Listen("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			mu.Lock()
			current = listener
			mu.Unlock()
			go func() { _ = http.Serve(listener, h.target.Config.Handler) }()
		})
	})
}

var _ = Describe("A request that crashes targets", func() {
	// Guards against a request that crashes one target after another while its caller retries: the crash evidence of one
	// host must reach the others.
	It("is quarantined on all hosts after a few crashes", func() {
		f := newFleet(5)
		for _, h := range f.hosts {
			h.crashOn("poison")
		}
		for i := range 8 {
			f.hosts[i%5].post("school-key", "poison")
			time.Sleep(rosterDelay)
		}
		Expect(f.runsOf("poison")).To(BeNumerically("<=", 3))
		got := f.hosts[0].post("school-key", "poison")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.retryAfter).To(Equal("600.000"))
		Expect(f.hosts[1].post("school-key", "harmless").status).To(Equal(http.StatusOK))
	})
})
