package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/gate"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

const (
	// uploadSlots is the number of slots of the target.
	uploadSlots = 100
	// memoryPerUpload is the stated bound for the memory that one upload takes on both hops, with its caller and its
	// target, which run in this process: two buffered beginnings of 64 KiB, copies in progress and buffers of
	// connections.
	memoryPerUpload = 512 << 10
)

// stallingBody is a body that waits in its middle.
type stallingBody struct {
	left    int
	stallAt int
	arrived func()
	release <-chan struct{}
}

// Read implements io.Reader.
func (s *stallingBody) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	if s.left <= s.stallAt && s.arrived != nil {
		s.arrived()
		s.arrived = nil
		<-s.release
	}
	n := min(len(p), s.left, 32<<10)
	s.left -= n
	return n, nil
}

// maxSends bounds how often a caller sends an upload that is refused.
const maxSends = 10

// upload sends an upload and returns the status, which is 200 or 503.
func upload(address, request string, body io.Reader, length int64) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/photos/"+request, body)
	Expect(err).NotTo(HaveOccurred())
	r.ContentLength = length
	r.Host = "trails.example"
	r.Header.Set("Request-Id", request)
	r.Header.Set("Authorization", "Bearer school-key")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
	if response.StatusCode == http.StatusOK {
		Expect(string(answer)).To(Equal("done"))
	}
	return response.StatusCode
}

// heapInUse returns the bytes of live objects.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

var _ = Describe("Uploads at the same time", func() {
	// Guards against daemons that hold whole bodies in memory.
	DescribeTable("take bounded memory and arrive whole", func(uploadBytes, uploads int) {
		f := &fleet{store: newStore()}
		f.store.setPolicy(1, "school-key")
		entryHost, gateHost := f.add(), f.add()
		var received atomic.Int64
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			received.Add(n)
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Seal", "s")
			fmt.Fprint(w, "done")
		}))
		DeferCleanup(target.Close)
		// All uploads go to the other host.
		entryHost.announce(roster.Draining, 2)
		gateHost.target.Config.Handler = target.Config.Handler
		Expect(gateHost.daemon.Announce(gate.Announcement{
			Target: roster.TargetIncarnation{ID: "t2", StartedMS: 2}, Service: "walks", State: roster.Serving, Slots: uploadSlots, Sequence: 1,
		})).To(Succeed())
		Eventually(func() int { return entryHost.post("school-key", "ready").status }, "10s").Should(Equal(http.StatusOK))
		received.Store(0)
		before := heapInUse()
		release := make(chan struct{})
		var all sync.WaitGroup
		var served atomic.Int64
		// sent holds the number of each upload's last send, reached that of the one whose body waits in its middle. A refused
		// body may get there, too, since its connection is read on.
		sent, reached := make([]atomic.Int64, uploads), make([]atomic.Int64, uploads)
		waiting := func() int {
			n := 0
			for i := range sent {
				if last := sent[i].Load(); last > 0 && reached[i].Load() == last {
					n++
				}
			}
			return n
		}
		for i := range uploads {
			all.Go(func() {
				defer GinkgoRecover()
				// A refusal promises that the request has not run, and callers come back after it: a gate that does not
				// acknowledge an attempt within 400 ms has not got it, and here is the only one.
				for send := range int64(maxSends) {
					sent[i].Store(send + 1)
					arrived := func() { reached[i].Store(max(reached[i].Load(), send+1)) }
					body := &stallingBody{left: uploadBytes, stallAt: uploadBytes / 2, arrived: arrived, release: release}
					if upload(entryHost.callers, fmt.Sprintf("u%d", i), body, int64(uploadBytes)) != http.StatusServiceUnavailable {
						served.Add(1)
						return
					}
				}
			})
		}
		Eventually(waiting, "50s").Should(Equal(uploads))
		time.Sleep(100 * time.Millisecond)
		during := heapInUse()
		close(release)
		all.Wait()
		perUpload := (int64(during) - int64(before)) / int64(uploads)
		fmt.Fprintf(GinkgoWriter, "memory of one upload of %d KiB: %d KiB\n", uploadBytes>>10, perUpload>>10)
		Expect(perUpload).To(BeNumerically("<", memoryPerUpload))
		Expect(served.Load()).To(Equal(int64(uploads)))
		Expect(received.Load()).To(Equal(int64(uploads) * int64(uploadBytes)))
	},
		Entry("of 64 KiB", 64<<10, 100),
		Entry("of 1 MiB", 1<<20, 100),
		Entry("of 16 MiB", 16<<20, 10),
	)
})
