package hop

import (
	"errors"
	"strconv"
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// MaxValidity bounds how far a validity stamp may be ahead of the gate's clock. It equals the attempt table's
// MinRetention, so that no attempt can be dispatched again after its record was dropped.
const MaxValidity = attempt.MinRetention

// errGateClock reports a malformed gate clock.
var errGateClock = errors.New("gate clock is not <incarnation>:<milliseconds>")

// GateClock is a reading of a gate's monotonic clock, or a time on it. It includes the incarnation because the
// clock restarts at zero with the process, and a stamp for the old process would be valid for too long at the new
// one.
type GateClock struct {
	Incarnation id.Incarnation
	// Millis is the time since the incarnation started, in milliseconds.
	Millis int64
}

// ReadGateClock returns the reading of a gate at its local time now.
func ReadGateClock(incarnation id.Incarnation, now clock.Time) GateClock {
	return GateClock{Incarnation: incarnation, Millis: now.Milliseconds()}
}

// ParseGateClock decodes the form that String returns.
func ParseGateClock(s string) (GateClock, error) {
	left, right, found := strings.Cut(s, ":")
	if !found {
		return GateClock{}, errGateClock
	}
	incarnation, err := strconv.ParseUint(left, 10, 64)
	if err != nil {
		return GateClock{}, errGateClock
	}
	millis, err := strconv.ParseInt(right, 10, 64)
	if err != nil || millis < 0 {
		return GateClock{}, errGateClock
	}
	return GateClock{Incarnation: id.Incarnation(incarnation), Millis: millis}, nil
}

// String returns "<incarnation>:<milliseconds>".
func (g GateClock) String() string {
	buffer := make([]byte, 0, 40)
	buffer = strconv.AppendUint(buffer, uint64(g.Incarnation), 10)
	buffer = append(buffer, ':')
	buffer = strconv.AppendInt(buffer, g.Millis, 10)
	return string(buffer)
}

// Permits reports whether the validity stamp g allows a dispatch when the gate's clock is now. A stamp further
// ahead than MaxValidity allows none.
func (g GateClock) Permits(now GateClock) bool {
	ahead := g.Millis - now.Millis
	return g.Incarnation == now.Incarnation && ahead >= 0 && ahead <= MaxValidity.Milliseconds()
}
