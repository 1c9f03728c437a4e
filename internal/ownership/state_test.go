package ownership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

var _ = Describe("State", func() {
	const self = id.HostID("host-000")
	roster := rosterOf(5, 5)
	var (
		state *ownership.State
		duty  ownership.Duty
	)

	BeforeEach(func() {
		state = ownership.New(self)
		placement := ownership.NewPlacement(roster)
		for n := 0; !placement.Places(duty, 1, self); n++ {
			duty = ownership.Duty{Kind: ownership.PermitHome, Name: string(rune('a' + n))}
		}
	})

	confirm := func(now clock.Time) ownership.Reason {
		state.RecordFreshness(now)
		return state.Confirm(duty, 1, self, now).Reason
	}

	acknowledge := func(host int, epoch id.Epoch, now clock.Time) {
		state.Acknowledged(ownership.Acknowledgement{
			From: roster.Members[host].Host, Slot: self, Epoch: epoch, Roster: roster.Revision,
		}, now)
	}

	// Guards against a fence that starts without a majority, or that ends before the confirmation of a holder
	// with a slow clock.
	It("performs a second epoch's duties only after a majority and the fence", func() {
		state.Registered(ownership.Registration{Epoch: 2, Rosters: []ownership.Roster{roster}}, 0)
		acknowledge(1, 2, 0)
		acknowledge(2, 2, 0)
		acknowledge(2, 2, 0)
		acknowledge(3, 1, 0)
		Expect(confirm(clock.Time(time.Minute))).To(Equal(ownership.EpochUnsettled))
		start := clock.Time(time.Minute)
		acknowledge(3, 2, start)
		Expect(confirm(start.Add(10499 * time.Millisecond))).To(Equal(ownership.EpochUnsettled))
		Expect(confirm(start.Add(10500 * time.Millisecond))).To(Equal(ownership.Confirmed))
	})

	// Guards against a fence that delays all duties when a fleet starts for the first time.
	It("performs a first epoch's duties under the first roster at once", func() {
		state.Registered(ownership.Registration{Epoch: 1, Rosters: []ownership.Roster{roster}}, 0)
		Expect(confirm(1)).To(Equal(ownership.Confirmed))
		Expect(state.Confirm(duty, 1, self, clock.Time(10*time.Second)+1).Reason).To(Equal(ownership.NotFresh))
		Expect(confirm(clock.Time(11 * time.Second))).To(Equal(ownership.Confirmed))
		state.RecordEpoch(self, 2)
		Expect(confirm(clock.Time(12 * time.Second))).To(Equal(ownership.Superseded))
	})

	// Guards against an interruption of duties at every roster change, and against a holder that
	// missed a roster that placed the duty on another slot.
	It("keeps a duty over a roster change only when it missed no roster in between", func() {
		state.Registered(ownership.Registration{Epoch: 1, Rosters: []ownership.Roster{roster}}, 0)
		state.RosterChanged(ownership.NewRoster(2, 1, roster.Members), 1)
		Expect(confirm(2)).To(Equal(ownership.Confirmed))
		state.RosterChanged(ownership.NewRoster(4, 3, roster.Members), 3)
		Expect(confirm(4)).To(Equal(ownership.RosterUnsettled))
	})

	// Guards against a fence on every planned restart, and against a skipped fence when another epoch lay between.
	It("skips the fence when the previous epoch's delegate returned settled duties", func() {
		for _, c := range []struct {
			epoch  id.Epoch
			reason ownership.Reason
		}{{3, ownership.Confirmed}, {4, ownership.EpochUnsettled}} {
			next := ownership.New(self)
			next.Registered(ownership.Registration{Epoch: c.epoch, Rosters: []ownership.Roster{roster}}, 0)
			next.DelegateReturned(ownership.Standing{Slot: self, Epoch: 2, EpochSettled: true, SettledRoster: 1}, 1)
			next.RecordFreshness(1)
			Expect(next.Confirm(duty, 1, self, 2).Reason).To(Equal(c.reason))
		}
	})
})
