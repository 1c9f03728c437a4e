package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	rpchandover "buckthornlatch.example/buckthornlatch/rpc/handover"
)

const (
	// maxDelegates bounds the number of peers that a transfer is offered to.
	maxDelegates = 3
	// announceDelay is the time for gossip to tell peers who holds the records now.
	announceDelay = 200 * time.Millisecond
	// leavePollInterval is the pause between two checks of or tries at work that delays leaving.
	leavePollInterval = 100 * time.Millisecond
	// maxClaimWait bounds the wait for claims to be written to the platform while leaving.
	maxClaimWait = 8 * time.Second
	// reclaimInterval is the time between two requests for the records of an earlier epoch.
	reclaimInterval = 500 * time.Millisecond
	// reclaimTimeout is the time after the registration during which the records are requested.
	reclaimTimeout = 30 * time.Second
)

// handOver hands the ticket records and duties of a leaving daemon over to peers.
func (d *Daemon) handOver(ctx context.Context) {
	d.tickets.Wait()
	d.awaitClaimWrites(ctx)
	candidates := d.delegates()
	for _, unit := range d.tickets.PrepareHandovers(d.dutyHandover) {
		result, to, err := d.handOverUnit(ctx, unit, candidates)
		d.log.Info().Err(err).Str("result", result.String()).Str("to", string(to)).
			Str("slot", string(unit.Location().Host)).Msg("handover: records handed over")
	}
	d.duties.leave()
	d.publishHeld()
	time.Sleep(announceDelay)
}

// handOverUnit hands one ledger over. After an unsure result it retries with the same receiver,
// which may be responsible already.
func (d *Daemon) handOverUnit(ctx context.Context, unit *handover.Transfer, candidates []id.HostID) (handover.Result, id.HostID, error) {
	for {
		result, to, err := d.handoverSender.HandOverToFirst(ctx, unit, candidates)
		if result != handover.Unsure || ctx.Err() != nil {
			return result, to, err
		}
		candidates = []id.HostID{to}
		select {
		case <-ctx.Done():
		case <-time.After(leavePollInterval):
		}
	}
}

// awaitClaimWrites waits until the outcomes of caller-chosen keys are in the platform's table,
// for at most maxClaimWait and the remaining drain timeout.
func (d *Daemon) awaitClaimWrites(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait)
	defer cancel()
	for d.ownKeys.Pending() > 0 {
		select {
		case <-ctx.Done():
			d.log.Warn().Int("claims", d.ownKeys.Pending()).Msg("daemon: claims not written before leaving")
			return
		case <-time.After(leavePollInterval):
		}
	}
}

// publishHeld publishes the epochs whose ticket records are held here.
func (d *Daemon) publishHeld() {
	held := d.held()
	d.gossip.Update(func(t *membership.Table) { t.SetHeld(held) })
}

// delegates returns up to maxDelegates random peers that are not suspected.
func (d *Daemon) delegates() []id.HostID {
	var hosts []id.HostID
	d.gossip.View(func(t *membership.Table) {
		now := d.clock.Now()
		for _, record := range t.Records() {
			if record.Host != d.duties.self && !t.Suspected(record.Host, now) {
				hosts = append(hosts, record.Host)
			}
		}
	})
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(len(hosts), maxDelegates)]
}

// reclaimRecords requests the records of the slot's earlier epochs from their delegates, until
// reclaimTimeout after the registration.
func (d *Daemon) reclaimRecords(ctx context.Context) error {
	ticker := time.NewTicker(reclaimInterval)
	defer ticker.Stop()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if d.state.Epoch() == 0 {
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) > reclaimTimeout {
			return nil
		}
		d.requestRecords(ctx)
	}
}

// requestRecords sends one request to every host that holds records of an earlier epoch of this
// host's slot.
func (d *Daemon) requestRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Peers.Timeout)
	defer cancel()
	for holder, at := range d.earlierHolders() {
		client, err := d.handoverSender.Dial(holder)
		if err != nil {
			continue
		}
		_, err = client.Return(ctx, &rpchandover.ReturnRequest{
			Slot:      string(at.Host),
			Epoch:     uint64(at.Epoch),
			NextEpoch: uint64(d.state.Epoch()),
		})
		if err != nil {
			d.log.Warn().Err(err).Str("peer", string(holder)).Msg("handover: request to return records failed")
		}
	}
}

// earlierHolders returns the hosts that hold records of an earlier epoch of this host's slot.
func (d *Daemon) earlierHolders() map[id.HostID]ledger.Location {
	out := make(map[id.HostID]ledger.Location)
	d.gossip.View(func(t *membership.Table) {
		for _, record := range t.Records() {
			for _, held := range record.Held {
				if held.Host == d.duties.self && record.Host != d.duties.self && held.Epoch < d.state.Epoch() {
					out[record.Host] = ledger.Location{Host: held.Host, Epoch: held.Epoch}
				}
			}
		}
	})
	return out
}

var _ handover.Duties = (*dutyHandover)(nil)
