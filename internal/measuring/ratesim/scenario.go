package ratesim

import (
	"fmt"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// Scenario describes one simulated run.
type Scenario struct {
	Name      string
	Daemons   int
	Customers []Customer
	Pattern   Pattern
	// Load is the offered rate relative to each customer's rate.
	Load float64
	// Duration is the time with requests; WarmUp idle time comes before it.
	Duration time.Duration
	// Latency is the one-way time of a message.
	Latency time.Duration
	// LoseAt stops daemon 0 this long after the warm-up; zero means never. It
	// is replaced by an empty daemon after LostFor.
	LoseAt  time.Duration
	LostFor time.Duration
	Seed    uint64
}

// WarmUp is idle time in which buckets fill.
const WarmUp = 20 * time.Second

// Customer is a simulated customer.
type Customer struct {
	Limit ratelimit.Limit
}

// SmallFleet returns 8 daemons with 8 customers, 2 of them large.
func SmallFleet(pattern Pattern, seed uint64) Scenario {
	s := Scenario{
		Name: "8 daemons", Daemons: 8, Pattern: pattern, Load: 0.8,
		Duration: 60 * time.Second, Latency: 1500 * time.Microsecond, Seed: seed,
	}
	for _, rate := range []float64{300, 150, 30, 20, 10, 10, 5, 2} {
		s.Customers = append(s.Customers, Customer{ratelimit.NewLimit(rate, max(int(rate/2), 4))})
	}
	return s
}

// LargeFleet returns 460 daemons with 21,000 customers whose rates follow a
// power law and whose load adds up to about 53,000 requests/s.
func LargeFleet(pattern Pattern, seed uint64) Scenario {
	s := Scenario{
		Name: "460 daemons", Daemons: 460, Pattern: pattern, Load: 0.8,
		Duration: 10 * time.Second, Latency: 1500 * time.Microsecond, Seed: seed,
	}
	const customers, total = 21000, 66250.0
	weight := 0.0
	for i := range customers {
		weight += 1 / float64(i+20)
	}
	for i := range customers {
		rate := total / weight / float64(i+20)
		s.Customers = append(s.Customers, Customer{ratelimit.NewLimit(rate, max(int(rate), 4))})
	}
	return s
}

// String names the scenario in a table.
func (s Scenario) String() string {
	return fmt.Sprintf("%s, %d customers, %s, load %.2f", s.Name, len(s.Customers), s.Pattern, s.Load)
}
