package entry_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// freezer is a TCP relay whose open connections can be made silent for good while new ones work.
type freezer struct {
	listener net.Listener
	target   string
	// generation is raised by a freeze; connections of an earlier generation swallow all bytes.
	generation atomic.Int64
}

// newFreezer starts a relay to an address.
func newFreezer(target string) *freezer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &freezer{listener: listener, target: target}
	DeferCleanup(listener.Close)
	go f.accept()
	return f
}

// accept relays connections.
func (f *freezer) accept() {
	for {
		caller, err := f.listener.Accept()
		if err != nil {
			return
		}
		callee, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		generation := f.generation.Load()
		go f.relay(caller, callee, generation)
		go f.relay(callee, caller, generation)
	}
}

// relay copies one direction until the connection ends. After a freeze it swallows all bytes and leaves the
// other end open.
func (f *freezer) relay(from, to net.Conn, generation int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		frozen := f.generation.Load() != generation
		if n > 0 && !frozen {
			_, _ = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		_ = from.Close()
		if !frozen {
			_ = to.Close()
		}
		return
	}
}

var _ = Describe("open connections that go silent for good", func() {
	// Guards against a lost or repeated booking, and against a path that stays unusable because other idle
	// connections of the pool are silent too.
	It("cost one detection and are not used again", func() {
		s := newStack(ginkgoCleaner{})
		target := &targetLog{}
		s.addGate("t1", 4, target.ServeHTTP)
		f := newFreezer(s.directory.targets[0].Gate)
		s.directory.targets[0].Gate = f.listener.Addr().String()
		stop := make(chan struct{})
		good, _, wait := s.load(4, stop)
		Eventually(good.Load).Should(BeNumerically(">", 20))
		close(stop)
		wait()

		f.generation.Add(1)
		before := target.count()
		second := &targetLog{}
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
