package hop

import (
	"strconv"
	"strings"
)

// Load is a gate's load for one service.
type Load struct {
	// FreeSlots is the number of target slots without a request.
	FreeSlots int
	// Queued is the number of queued attempts.
	Queued int
}

// String returns "<free slots>/<queued>".
func (l Load) String() string {
	return strconv.Itoa(l.FreeSlots) + "/" + strconv.Itoa(l.Queued)
}

// parseLoad decodes the form that String returns; a malformed value counts as absent.
func parseLoad(s string) (Load, bool) {
	left, right, found := strings.Cut(s, "/")
	if !found {
		return Load{}, false
	}
	free, err := strconv.Atoi(left)
	if err != nil || free < 0 {
		return Load{}, false
	}
	queued, err := strconv.Atoi(right)
	if err != nil || queued < 0 {
		return Load{}, false
	}
	return Load{FreeSlots: free, Queued: queued}, true
}
