package ledgerrun_test

import (
	"fmt"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ledgerrun"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// String keeps the output of failed runs short.
func (p *process) String() string { return fmt.Sprint(p.host, "/", p.epoch) }

// process is one daemon process. It stays in the cluster when another one replaces it on its host.
type process struct {
	host     id.HostID
	epoch    id.Epoch
	clock    *clock.Fake
	rate     int
	runner   *ledgerrun.Runner
	tickets  *ledgerrun.Server
	handover *handover.Server
	sender   *handover.Sender
	duties   fakeDuties
	units    []*handover.Transfer
	paused   bool
	killed   bool
}

// fakeDuties is the set of epochs whose duties a process performs.
type fakeDuties map[ledger.Location]bool

// Release implements handover.Duties.
func (d fakeDuties) Release(at ledger.Location) (ownership.Standing, []handover.DutyState, bool) {
	held := d[at]
	delete(d, at)
	return ownership.Standing{Slot: at.Host, Epoch: at.Epoch}, []handover.DutyState{{Part: "rate", Data: []byte("7")}}, held
}

// Accept implements handover.Duties.
func (d fakeDuties) Accept(s ownership.Standing, states []handover.DutyState) {
	if len(states) != 1 || string(states[0].Data) != "7" {
		panic("duty state lost")
	}
	d[ledger.Location{Host: s.Slot, Epoch: s.Epoch}] = true
}

// ticket is one issued ticket and what actually happened to its request.
type ticket struct {
	text   string
	at     ledger.Location
	issued time.Duration
	runs   int
	answer string
	// answered means that the process that held the records recorded the response.
	answered bool
}

// String keeps the output of failed runs short.
func (k *ticket) String() string { return fmt.Sprint(k.at, " issued at ", k.issued) }

// activeSend is a send that was allowed to run at a process and has not ended.
type activeSend struct {
	p      *process
	ticket *ticket
	claim  ledger.ClaimID
}
