package claims

import (
	"context"
	"crypto/rand"
	"fmt"
	"runtime"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// benchRun claims and finishes n keys and returns the store.
func benchRun(b *testing.B, n int) *Store {
	settings := DefaultSettings()
	settings.MaxQueue, settings.MaxRows = n, n
	fake := &clock.Fake{}
	s, err := New(Config{Table: newFakeTable(), Clock: fake, Random: rand.Reader, Host: "trelew-1", Settings: settings})
	if err != nil {
		b.Fatal(err)
	}
	decided := make([]chan ledger.Decision, n)
	for i := range decided {
		decided[i], _ = s.submit(hashKey("customer", fmt.Sprint("order-", i)), "f")
	}
	settings.MaxWait = time.Hour
	s.settings = settings
	for _, e := range s.claims {
		e.deadline = clock.Time(100 * time.Hour)
	}
	for s.Pending() > 0 {
		fake.Advance(settings.CommitInterval)
		s.Flush(context.Background())
		for i, c := range decided {
			select {
			case d := <-c:
				s.Finish(d.Claim, ledger.RanWithoutResponse(201))
				decided[i] = nil
			default:
			}
		}
	}
	return s
}

// BenchmarkClaimFinish measures the claim and the outcome of one key with a table in memory. Most of
// the time goes into encoding two rows.
func BenchmarkClaimFinish(b *testing.B) {
	for b.Loop() {
		benchRun(b, 200)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/200, "ns/key")
}

// BenchmarkRowMemory reports the live heap per row that waits for its removal. The rows of the fake
// table are not counted.
func BenchmarkRowMemory(b *testing.B) {
	for _, rows := range []int{1000, 5000, 10_000, 50_000} {
		b.Run(fmt.Sprint(rows), func(b *testing.B) {
			for b.Loop() {
				before := liveHeap()
				s := benchRun(b, rows)
				s.table = nil
				b.ReportMetric(float64(liveHeap()-before)/float64(rows), "B/row")
				runtime.KeepAlive(s)
			}
		})
	}
}

// liveHeap returns the heap bytes in use after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
