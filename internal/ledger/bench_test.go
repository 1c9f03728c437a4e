package ledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// benchLedger returns a ledger with claim limits that no benchmark reaches.
func benchLedger(b *testing.B) *ledger.Ledger {
	settings := ledger.DefaultSettings()
	settings.MaxClaims, settings.MaxClaimsPerCustomer = 1<<30, 1<<30
	l, err := ledger.New(ledger.Location{Host: "trelew-host-001", Epoch: 12}, ledger.Secret{1}, settings)
	if err != nil {
		b.Fatal(err)
	}
	return l
}

func benchIssue(b *testing.B, l *ledger.Ledger, n uint64, now clock.Time) string {
	t, err := l.Issue(id.CustomerID(fmt.Sprint("customer-", n%100)), random(n), now)
	if err != nil {
		b.Fatal(err)
	}
	return t
}

func BenchmarkIssue(b *testing.B) {
	l := benchLedger(b)
	for n := uint64(0); b.Loop(); n++ {
		if _, err := l.Issue("customer", random(n), 0); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkVerify measures a resend that is refused after its ticket was checked.
func BenchmarkVerify(b *testing.B) {
	l := benchLedger(b)
	t := benchIssue(b, l, 0, 0)
	l.Begin("customer-0", t, "f", 0)
	for b.Loop() {
		if l.Begin("customer-0", t, "f", 1).Kind != ledger.InProgress {
			b.Fatal("not in progress")
		}
	}
}

// BenchmarkIssueBeginFinish measures Issue, Begin and Finish of one ticket without a stored response.
// Time advances so that after about 50,000 claims they expire as fast as they are added.
func BenchmarkIssueBeginFinish(b *testing.B) {
	l := benchLedger(b)
	var now clock.Time
	for n := uint64(0); b.Loop(); n++ {
		now += clock.Time(ledger.DefaultWindow) / 50_000
		t, err := l.Issue("customer", random(n), now)
		if err != nil {
			b.Fatal(err)
		}
		d := l.Begin("customer", t, "f", now)
		l.Finish(d.Claim, ledger.RanWithoutResponse(201), now)
	}
}

// BenchmarkClaimMemory reports the live heap per finished claim without a stored response.
func BenchmarkClaimMemory(b *testing.B) {
	for _, claims := range []uint64{1000, 10_000, 100_000, 400_000} {
		b.Run(fmt.Sprint(claims), func(b *testing.B) {
			for b.Loop() {
				before := liveHeap()
				l := benchLedger(b)
				for n := range claims {
					d := l.Begin(id.CustomerID(fmt.Sprint("customer-", n%100)), benchIssue(b, l, n, 0), "f", 0)
					l.Finish(d.Claim, ledger.RanWithoutResponse(201), 0)
				}
				b.ReportMetric(float64(liveHeap()-before)/float64(claims), "B/claim")
				runtime.KeepAlive(l)
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
