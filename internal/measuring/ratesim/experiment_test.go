package ratesim_test

import (
	"bytes"
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/ratesim"
)

var (
	measure = flag.String("measure", "", "groups of scenarios to print: small, large or queue")
	policy  = flag.String("policy", "", "only this policy")
	seed    = flag.Uint64("simulation-seed", 1, "seed of the printed scenarios")
)

// TestMeasure prints the figures of docs/limits.md.
func TestMeasure(t *testing.T) {
	options := ratesim.Options{
		Seed: *seed, Small: *measure == "small", Large: *measure == "large", Queue: *measure == "queue",
	}
	if *policy != "" {
		options.Policies = []ratesim.PolicyName{ratesim.PolicyName(*policy)}
	}
	var out bytes.Buffer
	if err := ratesim.Run(&out, options); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + out.String())
}

var _ = Describe("Simulate", func() {
	// Guards against figures that cannot be repeated.
	It("gives the same result for the same seed", func() {
		scenario := ratesim.SmallFleet(ratesim.Moving, 5)
		scenario.Duration = 5 * time.Second
		first := ratesim.Simulate(scenario, ratesim.TokenGrants)
		Expect(ratesim.Simulate(scenario, ratesim.TokenGrants)).To(Equal(first))
		Expect(first.Offered).To(BeNumerically(">", 1000))
	})
})
