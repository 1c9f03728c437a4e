package capacity_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/measuring/capacity"
)

var _ = Describe("measurements", func() {
	// Guards against a line whose slope or value at full size is wrong.
	It("fits a line", func() {
		line := capacity.Fit([]float64{1, 2, 4}, []float64{5, 7, 11})
		Expect(line.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(line.Intercept).To(BeNumerically("~", 3, 1e-9))
		Expect(line.R2).To(BeNumerically("~", 1, 1e-9))
		Expect(capacity.Fit([]float64{2, 2}, []float64{3, 5}).Intercept).To(Equal(4.0))
	})

	// Guards against stand-ins that the daemon does not accept as a fleet, and against uncounted calls.
	It("measures a daemon among simulated hosts", func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		standins, err := capacity.NewStandins(ctx, capacity.StandinsConfig{
			Size:            capacity.Size{Hosts: 6, Targets: 12, Services: 3, Routes: 6, Customers: 20, Keys: 40},
			ChangeInterval:  200 * time.Millisecond,
			RestartInterval: 300 * time.Millisecond,
			SummaryInterval: time.Minute,
			GossipInterval:  200 * time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		control, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() { done <- standins.Run(ctx, control) }()
		result, err := capacity.MeasureControl(ctx, capacity.ControlConfig{
			Standins: control.Addr().String(), Window: 3 * time.Second, Log: zerolog.Nop(),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.PeerSentPerSec).To(BeNumerically(">", 0))
		Expect(result.PeerRecvPerSec).To(BeNumerically(">", 0))
		Expect(result.PlatformReadsSec).To(BeNumerically(">", 0))
		Expect(result.ResidentBytes).To(BeNumerically(">", 0))
		stop()
		Eventually(done, 10*time.Second).Should(Receive(BeNil()))
	})

	// Guards against an outage from which the platform calls never recover, and against phases without counts.
	It("measures the platform's load through an outage", func() {
		phases, err := capacity.MeasurePlatform(context.Background(), capacity.PlatformConfig{
			Daemons: 12, ReadsPerSecond: 2000, WritesPerSecond: 400,
			Catalogue:      capacity.FullSize.Scaled(0.001),
			ChangeInterval: time.Second, RestartInterval: time.Second,
			Phase: 7 * time.Second, Outage: 3 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(phases).To(HaveLen(6))
		Expect(phases[0].Writes).To(BeNumerically(">", 0))
		Expect(phases[1].Reads).To(BeNumerically(">", 0))
		Expect(phases[4].Reads).To(BeZero())
		Expect(phases[4].Refused).To(BeNumerically(">", 0))
		Expect(phases[5].Reads).To(BeNumerically(">", 0))
	})

	// Guards against a path whose requests fail or do not pass the daemons.
	It("compares the paths", func() {
		results, err := capacity.MeasureOverhead(context.Background(), capacity.OverheadConfig{
			Rates: []float64{50}, Slice: 500 * time.Millisecond, Rounds: 1, Seed: 1,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(results).To(HaveLen(6))
		for _, result := range results {
			Expect(result.Failed).To(BeZero(), result.Path)
			Expect(result.Requests).To(BeNumerically(">", 0), result.Path)
		}
		Expect(results[2].P50).To(BeNumerically(">", results[0].P50))
	})
})
