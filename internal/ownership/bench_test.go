package ownership_test

import (
	"fmt"
	"runtime"
	"testing"

	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

const (
	benchHosts     = 460
	benchDomains   = 6
	benchCustomers = 21_000
)

func benchDuties() []ownership.Duty {
	duties := make([]ownership.Duty, benchCustomers)
	for i := range duties {
		duties[i] = ownership.Duty{Kind: ownership.RateHome, Name: fmt.Sprint("customer-", i)}
	}
	return duties
}

// BenchmarkPlaceAll measures the placement of every customer after a roster change.
func BenchmarkPlaceAll(b *testing.B) {
	roster, duties := rosterOf(benchHosts, benchDomains), benchDuties()
	for b.Loop() {
		before := heap()
		p := ownership.NewPlacement(roster)
		for _, d := range duties {
			p.Places(d, 4, "host-000")
		}
		b.ReportMetric(float64(heap()-before)/benchCustomers, "B/customer")
		runtime.KeepAlive(p)
	}
}

// BenchmarkPlaceOne measures the placement of one customer that is not cached.
func BenchmarkPlaceOne(b *testing.B) {
	for _, hosts := range []int{46, 115, 230, 460} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			p := ownership.NewPlacement(rosterOf(hosts, benchDomains))
			for n := 0; b.Loop(); n++ {
				p.Places(ownership.Duty{Kind: ownership.RateHome, Name: fmt.Sprint(n)}, 4, "host-000")
			}
		})
	}
}

// BenchmarkPlaceCached measures a lookup of a cached placement.
func BenchmarkPlaceCached(b *testing.B) {
	p := ownership.NewPlacement(rosterOf(benchHosts, benchDomains))
	duty := ownership.Duty{Kind: ownership.RateHome, Name: "customer"}
	for b.Loop() {
		p.Places(duty, 4, "host-000")
	}
}

// heap returns the heap bytes in use after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
