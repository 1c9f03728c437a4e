package load

import "time"

// History is everything that one run recorded.
type History struct {
	Records []Record
	// Overruns counts arrivals that were dropped because too many requests were in flight.
	Overruns int
	Elapsed  time.Duration
}
