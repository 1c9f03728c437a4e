package freshness_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/freshness"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// fakeEvidence implements Evidence with fixed times.
type fakeEvidence struct {
	covered map[id.HostID]clock.Time
	read    clock.Time
	hasRead bool
}

func (e fakeEvidence) CoveredAt(host id.HostID, _ clock.Time) (clock.Time, bool) {
	at, ok := e.covered[host]
	return at, ok
}

func (e fakeEvidence) PlatformReadAt() (clock.Time, bool) { return e.read, e.hasRead }

var _ freshness.Evidence = (*membership.Table)(nil)

// at returns the clock time of a number of seconds.
func at(seconds int) clock.Time { return clock.Time(time.Duration(seconds) * time.Second) }

var _ = Describe("Evaluate", func() {
	roster := []id.HostID{"a", "b", "c", "d"}

	// Guards against two halves of a partition that are both fresh.
	It("needs more than half of the roster", func() {
		half := fakeEvidence{covered: map[id.HostID]clock.Time{"a": at(20), "b": at(20)}}
		Expect(freshness.Evaluate(roster, half, at(20)).Fresh(at(20))).To(BeFalse())
		half.covered["c"] = at(15)
		v := freshness.Evaluate(roster, half, at(20))
		Expect(v).To(Equal(freshness.Verdict{Until: at(25), Basis: freshness.Majority}))
		Expect(v.Fresh(at(25))).To(BeFalse())
	})

	// Guards against counting hosts that are not on the roster, or an empty roster as having a majority.
	It("counts only hosts on the roster", func() {
		others := fakeEvidence{covered: map[id.HostID]clock.Time{"a": at(1), "x": at(1), "y": at(1), "z": at(1)}}
		Expect(freshness.Evaluate(roster, others, at(2)).Basis).To(Equal(freshness.None))
		Expect(freshness.Evaluate(nil, others, at(2)).Basis).To(Equal(freshness.None))
	})

	// Guards against a read that extends freshness beyond the window from its beginning.
	It("counts the window from the beginning of the newest read", func() {
		read := fakeEvidence{read: at(7), hasRead: true, covered: map[id.HostID]clock.Time{"a": at(9), "b": at(5), "c": at(5)}}
		Expect(freshness.Evaluate(roster, read, at(9))).To(Equal(freshness.Verdict{Until: at(17), Basis: freshness.PlatformRead}))
	})
})
