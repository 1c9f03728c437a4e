package e2e_test

import (
	"os"
	"strconv"
	"time"
)

const (
	// randomVariable holds the duration of the randomised run; without it that run is left out.
	randomVariable = "BUCKTHORNLATCH_E2E_RANDOM"
	// seedVariable holds the seed of the randomised run.
	seedVariable = "BUCKTHORNLATCH_E2E_SEED"
)

// randomDuration is the duration of the randomised run; zero when none was asked for.
func randomDuration() time.Duration {
	d, _ := time.ParseDuration(os.Getenv(randomVariable))
	return d
}

// randomSeed is the seed of the randomised run.
func randomSeed() int64 {
	seed, err := strconv.ParseInt(os.Getenv(seedVariable), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}
