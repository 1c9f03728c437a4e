package ratelimit_test

import (
	"fmt"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// daemon is an entry and a home on one host, with a drifting clock.
type daemon struct {
	sim   *simulation
	index int
	host  id.HostID
	epoch id.Epoch
	drift float64
	// paused daemons do nothing; isolated ones get no confirmation.
	paused, isolated bool
	// confirmed is the time of the last confirmation.
	confirmed clock.Time
	// revision is the newest revision that the daemon received, at revisionSince.
	revision      catalogue.Revision
	revisionSince clock.Time
	home          *ratelimit.Home
	entry         *ratelimit.Entry
	calls         []call
	backlog       []message
}

// newDaemon returns a daemon that has received the newest revision.
func newDaemon(s *simulation, index int, epoch id.Epoch) *daemon {
	d := &daemon{sim: s, index: index, host: hostName(index), epoch: epoch, drift: 0.01 * (2*s.random.Float64() - 1)}
	d.revision = catalogue.Revision(len(s.revisions) - 1)
	switch {
	case epoch == 1:
		d.home = ratelimit.NewHome(epoch, d, 0)
	case s.defect == epochWithoutFence:
		d.home = ratelimit.NewHome(epoch, d, d.now())
	default:
		d.home = ratelimit.NewSuccessor(epoch, d, d.now().Add(fence))
	}
	if epoch > 1 {
		d.revisionSince = d.now()
	}
	d.assign(epoch == 1 || len(s.revisions) == 1)
	if epoch > 1 && s.defect == epochStartsFull {
		d.home.Fill(customer)
	}
	d.entry = ratelimit.NewEntry(ratelimit.EntryConfig{Self: d.host, Placement: d, Local: d.home})
	return d
}

func hostName(i int) id.HostID { return id.HostID(fmt.Sprintf("h%d", i)) }

func (d *daemon) now() clock.Time { return localTime(d.sim.now, d.drift) }

// Confirmed implements ratelimit.Duty.
func (d *daemon) Confirmed(now clock.Time) bool { return now.Sub(d.confirmed) <= confirmation }

// Settled implements ratelimit.Duty.
func (d *daemon) Settled(r catalogue.Revision, _ clock.Time) bool {
	return d.revision >= r && d.confirmed.Sub(d.revisionSince) >= fence
}

// Version implements ratelimit.Placement.
func (d *daemon) Version() uint64 { return uint64(d.revision) + 1 }

// Limit implements ratelimit.Placement.
func (d *daemon) Limit(id.CustomerID) ratelimit.Limit { return d.sim.revisionAt(d.revision).limit }

// Homes implements ratelimit.Placement.
func (d *daemon) Homes(id.CustomerID) []id.HostID {
	var out []id.HostID
	for i := range d.Limit(customer).HomeCount() {
		out = append(out, hostName(i))
	}
	return out
}

// assign gives the home its share under the daemon's revision.
func (d *daemon) assign(first bool) {
	limit := d.Limit(customer)
	if d.index >= limit.HomeCount() {
		d.home.Unassign(customer)
		return
	}
	share := ratelimit.NewShare(limit, d.index, limit.HomeCount(), d.revision)
	share.First = first
	d.home.Assign(d.now(), customer, share)
}

// confirm renews the duty's confirmation, which carries the newest revision.
func (d *daemon) confirm() {
	if newest := catalogue.Revision(len(d.sim.revisions) - 1); d.revision < newest {
		d.revision, d.revisionSince = newest, d.now()
		d.assign(false)
	}
	d.confirmed = d.now()
}

// tick does the daemon's periodic work.
func (d *daemon) tick() {
	if d.paused {
		return
	}
	for len(d.backlog) > 0 {
		m := d.backlog[0]
		d.backlog = d.backlog[1:]
		d.handle(m)
	}
	if d.sim.owners[d.index] == d && !d.isolated && d.sim.random.Float64() < 0.1 {
		d.confirm()
	}
	d.home.Tick(d.now())
	for len(d.calls) > 0 && d.calls[0].deadline <= d.sim.now {
		c := d.calls[0]
		d.calls = d.calls[1:]
		d.entry.HandleFailure(d.now(), customer, c.Home, c.Request.ID)
	}
	if due, ok := d.entry.NextDue(); ok && due <= d.now() {
		d.entry.Tick(d.now())
	}
	d.flush()
	if d.sim.defect == outstandingNotCounted {
		d.home.DropOutstanding(customer)
	}
}

// request is one caller's request.
func (d *daemon) request() {
	if d.paused {
		return
	}
	if d.entry.Admit(d.now(), customer).Outcome == ratelimit.Admitted {
		d.sim.admit()
	}
	d.flush()
}

// flush processes the entry's outbox.
func (d *daemon) flush() {
	out := d.entry.Outbox()
	for _, r := range out.Resolved {
		if r.Denied == nil {
			d.sim.admit()
		}
	}
	for _, c := range out.Calls {
		d.calls = append(d.calls, call{c, d.sim.now + callTimeout})
		d.sim.send(message{host: c.Home, from: d, call: c})
	}
}

// accept handles a message, or queues it while the daemon is paused.
func (d *daemon) accept(m message) {
	if d.paused {
		d.backlog = append(d.backlog, m)
		return
	}
	d.handle(m)
}

// handle replies to a request or applies a reply.
func (d *daemon) handle(m message) {
	if m.reply != nil {
		d.entry.HandleReply(d.now(), customer, m.host, *m.reply)
		d.flush()
		return
	}
	reply := d.home.Exchange(d.now(), m.call.Request)
	d.sim.send(message{host: m.host, from: m.from, reply: &reply})
}
