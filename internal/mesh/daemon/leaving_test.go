package daemon

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// Guards against a share that swings and floods the log, and against one that changes much without a line.
func TestLeavingReport(t *testing.T) {
	var lines bytes.Buffer
	report := newLeavingReport(metrics.Discard{}, zerolog.New(&lines))
	for i := range 600 {
		report.update(clock.Time(time.Hour).Add(time.Duration(i)*100*time.Millisecond), map[id.ServiceName]choose.Leaving{
			"steady": {Share: 0.8}, "swinging": {Share: float64(i / 3 % 2)},
		})
	}
	if n := strings.Count(lines.String(), "\n"); n < 4 || n > 7 {
		t.Errorf("%d lines in a minute", n)
	}
	if strings.Contains(lines.String(), "steady") {
		t.Error("line about a service whose share is steady")
	}
}
