package e2e_test

import (
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"buckthornlatch.example/buckthornlatch/internal/emulator/platform"
)

const (
	// randomRound is the time of faults between two comparisons.
	randomRound = 40 * time.Second
	// randomLoadSeed is the first seed of the loads of the randomised run.
	randomLoadSeed = 500_000
)

var _ = Describe("A fleet under random faults", func() {
	// Guards against combinations of faults that the fixed cases do not have.
	It("keeps every promise", func() {
		if randomDuration() == 0 {
			Skip("set " + randomVariable + " to run it")
		}
		f := &fleet{}
		DeferCleanup(func() { f.close(CurrentSpecReport().Failed()) })
		f.start()
		GinkgoWriter.Printf("random faults with seed %d\n", randomSeed())
		random := rand.New(rand.NewPCG(uint64(randomSeed()), 0))
		end := time.Now().Add(randomDuration())
		for round := int64(0); time.Now().Before(end); round++ {
			f.randomRound(randomLoadSeed+10*round, random)
		}
	})
})

// randomRound makes faults under load, compares the load with the targets'
// counts and checks that the fleet recovers.
func (f *fleet) randomRound(seed int64, random *rand.Rand) {
	GinkgoHelper()
	everywhere := f.mixed(seed, f.hosts)
	greedy := f.greedy(seed+1, f.hosts)
	for end := time.Now().Add(randomRound); time.Now().Before(end); {
		f.randomFaults(random)
	}
	f.restore()
	everywhere.check()
	f.expectWithinRate(greedy)
	calm := f.mixed(seed+2, f.hosts)
	begin := time.Now()
	time.Sleep(recoverTime)
	calm.check()
	calm.expectShare(begin, begin.Add(recoverTime), 0.99)
	f.expectPromises()
}

// randomFaults makes one or two faults at once, at different hosts, and sometimes one of the platform.
func (f *fleet) randomFaults(random *rand.Rand) {
	GinkgoHelper()
	if random.IntN(3) == 0 {
		fault := platformFaults[random.IntN(len(platformFaults))]
		GinkgoWriter.Printf("%s platform %+v\n", time.Now().Format(time.TimeOnly), fault)
		f.setPlatform(fault)
		defer f.setPlatform(platform.Faults{})
	}
	order := random.Perm(len(f.hosts))
	var wait sync.WaitGroup
	for i := range 1 + random.IntN(2) {
		h := f.hosts[order[i]]
		fault := hostFaults[random.IntN(len(hostFaults))]
		length := time.Second + time.Duration(random.Int64N(int64(longestFault-time.Second)))
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		GinkgoWriter.Printf("%s %s: %s, %v\n", time.Now().Format(time.TimeOnly), h.name, fault.name, length.Round(time.Millisecond))
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer GinkgoRecover()
			fault.run(f, h, length, own)
		}()
	}
	wait.Wait()
	time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
}
