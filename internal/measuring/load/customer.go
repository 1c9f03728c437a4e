package load

// Customer is one customer's traffic.
type Customer struct {
	ID string `toml:"id"`
	// RatePerSecond is the offered rate, which may be above the limit.
	RatePerSecond float64 `toml:"rate_per_second"`
	// LimitPerSecond and LimitBurst repeat the catalogue's limits, to tell
	// refusals inside the customer's rate from deserved ones.
	LimitPerSecond float64     `toml:"limit_per_second"`
	LimitBurst     float64     `toml:"limit_burst"`
	Placement      Placement   `toml:"placement"`
	Operations     []Operation `toml:"operations"`
}
