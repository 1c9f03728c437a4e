package ratelimit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// benchSizes are the numbers of customers, to show how costs grow with them.
var benchSizes = []int{1000, 4000, 16000, 64000}

// benchHomes places every customer on four hosts.
type benchHomes struct{}

func (benchHomes) Version() uint64                     { return 1 }
func (benchHomes) Homes(id.CustomerID) []id.HostID     { return []id.HostID{"h0", "h1", "h2", "h3"} }
func (benchHomes) Limit(id.CustomerID) ratelimit.Limit { return ratelimit.NewLimit(1e6, 1e6) }

// benchCustomers returns n customer IDs.
func benchCustomers(n int) []id.CustomerID {
	var out []id.CustomerID
	for i := range n {
		out = append(out, id.CustomerID(fmt.Sprintf("customer-%05d", i)))
	}
	return out
}

// benchHome returns a home with a full bucket for every customer.
func benchHome(customers []id.CustomerID) *ratelimit.Home {
	home := ratelimit.NewHome(1, &duty{confirmed: true, settled: true}, 0)
	share := ratelimit.NewShare(ratelimit.NewLimit(1e6, 1e6), 0, 4, 1)
	share.First = true
	for _, c := range customers {
		home.Assign(0, c, share)
	}
	for now := clock.Time(0); now <= clock.Time(time.Second); now = now.Add(ratelimit.TickPeriod) {
		home.Tick(now)
	}
	return home
}

// exchange passes the entry's calls to one home and the replies back.
func exchange(now clock.Time, entry *ratelimit.Entry, home *ratelimit.Home) {
	for _, c := range entry.Outbox().Calls {
		entry.HandleReply(now, c.Request.Customer, c.Home, home.Exchange(now, c.Request))
	}
}

// BenchmarkAdmit measures an admission whose token is held by the entry or granted
// by a home in the same process, at a steady 10 requests/s of each customer.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range benchSizes {
		for _, self := range []id.HostID{"h0", "elsewhere"} {
			b.Run(fmt.Sprintf("customers=%d/at=%s", n, self), func(b *testing.B) {
				customers := benchCustomers(n)
				home := benchHome(customers)
				config := ratelimit.EntryConfig{Self: self, Placement: benchHomes{}}
				if self == "h0" {
					config.Local = home
				}
				entry := ratelimit.NewEntry(config)
				now, step := clock.Time(time.Second), 100*time.Millisecond/time.Duration(n)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					entry.Admit(now, customers[i%n])
					exchange(now, entry, home)
					if i%256 == 0 {
						entry.Tick(now)
						home.Tick(now)
						exchange(now, entry, home)
					}
					now = now.Add(step)
				}
			})
		}
	}
}

// BenchmarkMemory reports the heap per customer of a home (idle, and with a
// grant outstanding) and of an entry that holds a grant.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			for b.Loop() {
				customers := benchCustomers(n)
				empty := heap()
				home := benchHome(customers)
				idle := heap()
				entry := ratelimit.NewEntry(ratelimit.EntryConfig{Self: "elsewhere", Placement: benchHomes{}})
				now := clock.Time(time.Second)
				for range 4 {
					for _, c := range customers {
						entry.Admit(now, c)
						entry.Admit(now, c)
						exchange(now, entry, home)
					}
				}
				both := heap()
				runtime.KeepAlive(entry)
				entry = nil
				busy := heap()
				b.ReportMetric((idle-empty)/float64(n), "B/idle-home")
				b.ReportMetric((busy-empty)/float64(n), "B/busy-home")
				b.ReportMetric((both-busy)/float64(n), "B/entry")
				runtime.KeepAlive(home)
				runtime.KeepAlive(customers)
			}
		})
	}
}
