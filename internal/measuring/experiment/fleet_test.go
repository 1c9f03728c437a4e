package experiment_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/measuring/experiment"
	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
	"buckthornlatch.example/buckthornlatch/internal/settings"
)

// plan is a small mix of look-ups and bookings of one customer.
func plan(duration time.Duration, rate float64) load.Plan {
	return load.Plan{
		Duration: duration,
		Timeout:  5 * time.Second,
		Seed:     7,
		Customers: []load.Customer{{
			ID: "museo", RatePerSecond: rate, LimitPerSecond: 200, LimitBurst: 200, Placement: load.Spread,
			Operations: []load.Operation{
				{Method: "GET", Path: "/walks/1", Idempotent: true, Weight: 3},
				{Method: "POST", Path: "/bookings", Weight: 1, BodyBytes: 128},
			},
		}},
	}
}

// start returns a ready fleet with one target on each of the four hosts, and keys for the plan.
func start(ctx context.Context, p *load.Plan) (*experiment.Fleet, load.Keys) {
	return startWith(ctx, p, zerolog.WarnLevel, nil)
}

// startWith is start with a log level and changed settings.
func startWith(
	ctx context.Context, p *load.Plan, level zerolog.Level, adjust func(*settings.Settings),
) (*experiment.Fleet, load.Keys) {
	entries := smallCatalogue()
	fleet, err := experiment.NewFleet(entries, zerolog.New(GinkgoWriter).Level(level), adjust)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fleet.Close)
	for i, node := range fleet.Nodes {
		_, err := fleet.StartTarget(node, target.Config{
			Name: "reservas-" + string(node.Host.ID), Service: "reservas", Slots: 5,
			ServiceTime: 5 * time.Millisecond, Seed: uint64(i),
		})
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(fleet.AwaitReady(0)).To(Succeed())
	Expect(fleet.Apply(ctx, entries)).To(Succeed())
	keys, err := fleet.IssueKeys(ctx, *p)
	Expect(err).NotTo(HaveOccurred())
	Expect(fleet.AwaitReady(len(fleet.Nodes))).To(Succeed())
	p.Daemons = fleet.CallerURLs()
	return fleet, keys
}

var _ = Describe("A whole fleet", func() {
	// Guards against a fleet whose parts work alone but not together: nothing
	// is lost, doubled, crossed or refused at a load inside the customer's rate.
	It("serves look-ups and bookings through every daemon", func() {
		ctx := context.Background()
		p := plan(3*time.Second, 100)
		fleet, keys := start(ctx, &p)

		history, err := load.NewRunner(p, keys, &http.Client{}).Run(ctx)
		Expect(err).NotTo(HaveOccurred())
		verdict := load.Check(history, fleet.Runs.Snapshot())
		summary := load.Summarize(history)
		Expect(verdict).To(Equal(load.Verdict{}))
		Expect(len(history.Records)).To(BeNumerically(">", 200))
		Expect(summary.Customers[0].WrongfulRefusals).To(BeZero(), "codes %v", summary.Codes)
		Expect(summary.Customers[0].Share()).To(BeNumerically(">=", 0.99), "codes %v", summary.Codes)
	})
})
