package attempt_test

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// BenchmarkTable is the life of one attempt at 115 attempts a second, which is the peak load divided by the
// hosts. It reports the memory of a full retention.
func BenchmarkTable(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := attempt.NewTable(attempt.Limits{})
	var now clock.Time
	var number uint64
	life := func() {
		var a id.AttemptID
		number++
		binary.LittleEndian.PutUint64(a[:], number)
		now = now.Add(time.Second / 115)
		table.Arrive(now, a)
		table.Dispatch(a)
		table.Finish(now, a, attempt.EndComplete)
	}
	for range int(attempt.Retention/time.Second) * 115 {
		life()
	}
	for b.Loop() {
		life()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(table.Len()), "B/attempt")
	b.ReportMetric(float64(table.Len()), "attempts")
}
