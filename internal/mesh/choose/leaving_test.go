package choose_test

import (
	"testing"
	"time"
)

// demandOf returns a constant demand: parts of the load that the hosts serve in all.
func demandOf(hosts []int, load float64, parts ...float64) func(int, time.Duration) float64 {
	total, sum := 0, 0.0
	for i, n := range hosts {
		total += n
		sum += parts[i]
	}
	return func(domain int, _ time.Duration) float64 {
		return load * float64(total) * playCapacity() * parts[domain] / sum
	}
}

// times multiplies a demand by a factor that depends on domain and time.
func times(demand, factor func(int, time.Duration) float64) func(int, time.Duration) float64 {
	return func(domain int, at time.Duration) float64 { return demand(domain, at) * factor(domain, at) }
}

// playSeeds is the number of plays of each load. The share that is served varies by some hundredths between plays.
const playSeeds = 8

// playNoise is the difference of shares that plays of the same policy with other seeds show.
const playNoise = 0.02

// Guards against traffic between failure domains that serves no caller better, and against callers that are served worse
// for having less of it: the same loads are played with the constant penalty.
func TestLeaving(t *testing.T) {
	uneven, small := []int{5, 2, 4}, []int{2, 2, 2}
	burst := func(domain int, at time.Duration) float64 {
		if domain == 0 && at > 10*time.Second && at < 14*time.Second {
			return 3
		}
		return 1
	}
	for _, c := range []struct {
		name string
		play play
		// most is the largest part of the bytes with the constant penalty.
		most float64
	}{
		{"even, half load", play{hosts: small, demand: demandOf(small, 0.5, 1, 1, 1)}, 1},
		{"even, busy", play{hosts: small, demand: demandOf(small, 0.85, 1, 1, 1)}, 0.35},
		{"even, overloaded", play{hosts: small, demand: demandOf(small, 1.5, 1, 1, 1)}, 0.35},
		{"uneven, busy", play{hosts: uneven, demand: demandOf(uneven, 0.8, 2.2, 2.8, 2.7)}, 0.9},
		{"uneven, overloaded", play{hosts: uneven, demand: demandOf(uneven, 1.4, 2.2, 2.8, 2.7)}, 0.6},
		{"uneven, swinging", play{hosts: uneven, demand: times(demandOf(uneven, 0.85, 2.2, 2.8, 2.7), swing)}, 0.85},
		{"swinging together", play{hosts: uneven, demand: times(demandOf(uneven, 0.9, 2.2, 2.8, 2.7), func(_ int, at time.Duration) float64 { return swing(0, at) })}, 0.8},
		{"burst in one domain", play{hosts: small, demand: times(demandOf(small, 0.5, 1, 1, 1), burst)}, 0.6},
		{"domain cut off", play{hosts: small, demand: demandOf(small, 0.6, 1, 1, 1), lost: func(host int, at time.Duration) bool {
			return host < 2 && at > 10*time.Second && at < 20*time.Second
		}}, 0.8},
		{"domain suspected", play{hosts: small, demand: demandOf(small, 0.5, 1, 1, 1), declines: func(host int, at time.Duration) bool {
			return host < 2 && at > 10*time.Second && at < 20*time.Second
		}}, 1},
		{"targets reject", play{hosts: uneven, demand: demandOf(uneven, 0.7, 2.2, 2.8, 2.7), rejects: func(at time.Duration) float64 {
			if at > 8*time.Second && at < 24*time.Second {
				return 0.55
			}
			return 0
		}}, 0.6},
		{"all suspected", play{hosts: small, demand: demandOf(small, 0.6, 1, 1, 1), declines: func(_ int, at time.Duration) bool {
			return at > 10*time.Second && at < 20*time.Second
		}}, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.play.length = 34 * time.Second
			var before, after playResults
			for seed := range uint64(playSeeds) {
				c.play.today = true
				before = before.add(c.play.run(seed))
				c.play.today = false
				after = after.add(c.play.run(seed))
			}
			t.Logf("penalty:  %v", before)
			t.Logf("locality: %v", after)
			for class := range playClasses {
				if after.inTime1(class) < before.inTime1(class)-playNoise || after.served1(class) < before.served1(class)-playNoise {
					t.Errorf("class %d is served worse", class)
				}
			}
			for domain := range c.play.hosts {
				// An overloaded domain with few hosts gets what its fair part outside is only after its requests have waited.
				if after.servedIn(domain) < before.servedIn(domain)-0.08 {
					t.Errorf("domain %d is served worse", domain)
				}
			}
			if float64(after.bytes) > c.most*float64(before.bytes) {
				t.Errorf("%.2f of the bytes", float64(after.bytes)/float64(before.bytes))
			}
		})
	}
}
