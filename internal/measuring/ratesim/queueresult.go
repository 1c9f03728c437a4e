package ratesim

// QueueResult is the outcome of a queue simulation. Shares are the served
// requests relative to the requests that the customer sent.
type QueueResult struct {
	Discipline Discipline `json:"discipline"`
	Seed       uint64     `json:"seed"`
	// WorstSharePercent and WorstP99Ms are of the worst-served customer that stays within its rate.
	WorstSharePercent float64 `json:"worst_share_percent"`
	WorstP99Ms        float64 `json:"worst_p99_ms"`
	// GreedySharePercent and GreedyP99Ms are of the customer far above its rate.
	GreedySharePercent float64 `json:"greedy_share_percent"`
	GreedyP99Ms        float64 `json:"greedy_p99_ms"`
	// Shed counts the refused and shed requests of all customers.
	Shed int `json:"shed"`
}
