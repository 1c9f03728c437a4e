package ratesim

// Result is the outcome of one scenario under one policy.
type Result struct {
	Scenario string     `json:"scenario"`
	Policy   PolicyName `json:"policy"`
	Seed     uint64     `json:"seed"`
	// Offered counts all requests, Within those that one bucket would have admitted.
	Offered int `json:"offered"`
	Within  int `json:"within"`
	// Admitted counts the admitted requests and Wrongful the refused ones of Within.
	Admitted int `json:"admitted"`
	Wrongful int `json:"wrongful"`
	// WrongfulPercent is Wrongful relative to Within; WorstPercent is the same of
	// the worst-served customer with at least minWorst requests within its rate.
	WrongfulPercent float64 `json:"wrongful_percent"`
	WorstPercent    float64 `json:"worst_percent"`
	// ShortPercent is by how much fewer requests were admitted than within the rate.
	ShortPercent float64 `json:"short_percent"`
	// MessagesPerSecond and BytesPerSecond are per daemon, sent; bytes without
	// transport and HTTP overhead.
	MessagesPerSecond float64 `json:"messages_per_second"`
	BytesPerSecond    float64 `json:"bytes_per_second"`
	// P99WaitMs is the wait of admitted requests in milliseconds.
	P99WaitMs float64 `json:"p99_wait_ms"`
	// WaitedPercent is the part of admitted requests that waited at all.
	WaitedPercent float64 `json:"waited_percent"`
}

// minWorst is the number of requests below which a customer's percentage says little.
const minWorst = 20
