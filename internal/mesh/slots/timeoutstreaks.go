package slots

import "buckthornlatch.example/buckthornlatch/internal/id"

// timeoutStreaks counts the timeouts of each route since its latest success. The zero value is empty.
type timeoutStreaks struct {
	counts map[id.RouteID]int
}

// maxStreaks bounds the routes whose timeouts are counted.
const maxStreaks = 4096

// timedOut counts a timeout.
func (t *timeoutStreaks) timedOut(route id.RouteID) {
	if t.counts == nil || len(t.counts) >= maxStreaks {
		t.counts = map[id.RouteID]int{}
	}
	t.counts[route]++
}

// succeeded ends a route's streak.
func (t *timeoutStreaks) succeeded(route id.RouteID) {
	delete(t.counts, route)
}
