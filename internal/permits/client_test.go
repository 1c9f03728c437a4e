package permits_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/permits"
)

// fakeFleet implements Duty, Placement and Services with fixed results.
type fakeFleet struct {
	address   string
	confirmed atomic.Bool
}

func (f *fakeFleet) Confirmed(id.ServiceName, clock.Time) (permits.Tenure, bool) {
	return permits.Tenure{Epoch: 1, First: true}, f.confirmed.Load()
}
func (f *fakeFleet) Home(id.ServiceName) (string, bool) { return f.address, true }
func (f *fakeFleet) Size(id.ServiceName) (int, float64) { return 4, 0.75 }

var _ = Describe("Client and Server", func() {
	// Guards against a gate that ejects without a grant, and against a home that grants while its duty is not confirmed.
	It("ejects a failing target only when the confirmed home grants it", func() {
		system := clock.NewSystem()
		fleet := &fakeFleet{}
		server := permits.NewServer(system, fleet, fleet)
		listener := httptest.NewServer(server.Handler())
		DeferCleanup(listener.Close)
		fleet.address = strings.TrimPrefix(listener.URL, "http://")

		target := id.TargetID{Host: "h", Name: "t"}
		judge := ejection.NewDetector(ejection.Holder{Host: "h", Incarnation: 1}, ejection.DefaultPolicy())
		judge.Announce(target, "s", system.Now())
		judge.SetPeers("s", []ejection.Peer{{Latency: time.Millisecond}, {Latency: time.Millisecond}, {Latency: time.Millisecond}})
		shared := ejection.NewShared(judge)
		client := permits.NewClient(permits.Config{
			Clock: system, Judge: shared, Placement: fleet, HTTP: http.DefaultClient, Scheme: "http",
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			client.Run(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		for n := range 5 {
			attempt := id.AttemptID{byte(n)}
			shared.Observe(ejection.Observation{Target: target, Attempt: attempt, Kind: ejection.Started, At: system.Now()})
			shared.Observe(ejection.Observation{Target: target, Attempt: attempt, Kind: ejection.TargetError, At: system.Now(), Source: uint64(n)})
		}
		admitted := func() bool { return shared.Eligible(target, system.Now()).Admit }
		Consistently(admitted, "300ms").Should(BeTrue())
		fleet.confirmed.Store(true)
		Eventually(admitted, "5s").Should(BeFalse())
	})
})
