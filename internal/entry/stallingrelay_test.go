package entry_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stallingRelay is a TCP relay whose open connections can be stalled permanently while new ones work.
type stallingRelay struct {
	listener net.Listener
	target   string
	// generation is incremented to stall all open connections; those of an earlier generation drop all bytes.
	generation atomic.Int64
}

// newStallingRelay starts a relay to an address.
func newStallingRelay(target string) *stallingRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &stallingRelay{listener: listener, target: target}
	DeferCleanup(listener.Close)
	go r.accept()
	return r
}

// accept relays each accepted connection to the target.
func (r *stallingRelay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		generation := r.generation.Load()
		go r.relay(caller, upstream, generation)
		go r.relay(upstream, caller, generation)
	}
}

// relay copies one direction until the connection ends. Once stalled, it drops all bytes and leaves the other end
// open.
func (r *stallingRelay) relay(from, to net.Conn, generation int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		stalled := r.generation.Load() != generation
		if n > 0 && !stalled {
			_, _ = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		_ = from.Close()
		if !stalled {
			_ = to.Close()
		}
		return
	}
}

var _ = Describe("open connections that stall permanently", func() {
	// Guards against a lost booking or a second run, and against a gate that stays unreachable because other idle
	// connections of the pool are stalled too.
	It("delay one request and are not used again", func() {
		s := newStack(ginkgoCleaner{})
		target := &recordingTarget{}
		s.addGate("t1", 4, target.ServeHTTP)
		relay := newStallingRelay(s.directory.targets[0].Gate)
		s.directory.targets[0].Gate = relay.listener.Addr().String()
		stop := make(chan struct{})
		good, _, wait := s.load(4, stop)
		Eventually(good.Load).Should(BeNumerically(">", 20))
		close(stop)
		wait()

		relay.generation.Add(1)
		before := target.count()
		second := &recordingTarget{}
		s.addGate("t2", 1, second.ServeHTTP)
		started := time.Now()
		Expect(s.book().status).To(Equal(http.StatusOK))
		Expect(time.Since(started)).To(BeNumerically("<", 3*time.Second))
		Expect([]int{target.count() - before, second.count()}).To(Equal([]int{0, 1}))
		for range 5 {
			started = time.Now()
			Expect(s.book().status).To(Equal(http.StatusOK))
			Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		}
		Expect(target.count() - before).To(Equal(5))
	})
})
