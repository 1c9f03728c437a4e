package load

import (
	"fmt"
	"os"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/tomlfile"
)

const (
	// MovePeriod is the time between the moves of a moving customer.
	MovePeriod = 2 * time.Second
	// maxInFlight bounds the requests in flight of one run; arrivals above it are counted as overruns.
	maxInFlight = 4096
	// maxSends bounds the sends of one non-idempotent request with the same ticket.
	maxSends = 4
	// resendDelay is the pause before a request is sent again.
	resendDelay = 50 * time.Millisecond
)

// Plan describes one run.
type Plan struct {
	// Daemons are the base URLs of the daemons' caller addresses.
	Daemons  []string      `toml:"daemons"`
	Duration time.Duration `toml:"duration"`
	// Timeout is the time that a caller gives one request.
	Timeout   time.Duration `toml:"timeout"`
	Seed      int64         `toml:"seed"`
	Customers []Customer    `toml:"customers"`
}

// ReadPlan reads and checks a plan file.
func ReadPlan(file string) (Plan, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, fault.New("read load plan", "", err)
	}
	plan := Plan{Timeout: 5 * time.Second, Seed: 1}
	positions, faults := tomlfile.Decode(file, document, &plan)
	fail := func(key, reason string) {
		faults = append(faults, tomlfile.Fault{File: file, Line: positions.Line(key), Key: key, Reason: reason})
	}
	if plan.Duration <= 0 {
		fail("duration", "must be above 0s")
	}
	if plan.Timeout <= 0 {
		fail("timeout", "must be above 0s")
	}
	if len(plan.Customers) == 0 {
		fail("customers", "at least one customer is required")
	}
	for i := range plan.Customers {
		checkCustomer(&plan.Customers[i], fmt.Sprintf("customers[%d]", i), fail)
	}
	return plan, faults.Err()
}

// checkCustomer fills defaults and reports faults of one customer.
func checkCustomer(c *Customer, key string, fail func(key, reason string)) {
	if c.Placement == "" {
		c.Placement = Spread
	}
	if c.Placement != Spread && c.Placement != Pinned && c.Placement != Moving {
		fail(key+".placement", "must be spread, pinned or moving")
	}
	if c.RatePerSecond <= 0 {
		fail(key+".rate_per_second", "must be above 0")
	}
	if len(c.Operations) == 0 {
		fail(key+".operations", "at least one operation is required")
	}
	for i := range c.Operations {
		if c.Operations[i].Weight == 0 {
			c.Operations[i].Weight = 1
		}
	}
}
