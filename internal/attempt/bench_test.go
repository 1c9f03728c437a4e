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

// BenchmarkTable measures one attempt, from arrival to end, at 115 attempts a second, which is the peak load
// per host. It reports the memory of the attempts of a whole retention.
func BenchmarkTable(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := attempt.NewTable(attempt.Limits{})
	var now clock.Time
	var number uint64
	runAttempt := func() {
		var a id.AttemptID
		number++
		binary.LittleEndian.PutUint64(a[:], number)
		now = now.Add(time.Second / 115)
		table.Add(now, a, true)
		table.Dispatch(a)
		table.Finish(now, a, attempt.EndComplete)
	}
	for range int(attempt.Retention/time.Second) * 115 {
		runAttempt()
	}
	for b.Loop() {
		runAttempt()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(table.Len()), "B/attempt")
	b.ReportMetric(float64(table.Len()), "attempts")
}
