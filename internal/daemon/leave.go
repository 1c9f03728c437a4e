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
	// maxDelegates bounds the peers that are asked to take a unit.
	maxDelegates = 3
	// announceDelay lets peers learn from gossip who holds the records now.
	announceDelay = 200 * time.Millisecond
	// retryPause is the time between two looks at work that delays leaving.
	retryPause = 100 * time.Millisecond
	// maxClaimWait bounds the wait for the platform while leaving.
	maxClaimWait = 8 * time.Second
	// reclaimPeriod is the time between two requests for the records of the previous epoch.
	reclaimPeriod = 500 * time.Millisecond
	// reclaimTime is the time after the registration in which the records are asked for.
	reclaimTime = 30 * time.Second
)

// handOver passes the ticket records and duties of a leaving daemon to a peer.
func (d *Daemon) handOver(ctx context.Context) {
	d.tickets.Wait()
	d.writeClaims(ctx)
	candidates := d.delegates()
	for _, unit := range d.tickets.Units(d.moves) {
		result, to, err := d.leaveUnit(ctx, unit, candidates)
		d.log.Info().Err(err).Str("result", result.String()).Str("to", string(to)).
			Str("slot", string(unit.Location().Host)).Msg("handover: records handed over")
	}
	d.duties.leave()
	d.publishHeld()
	time.Sleep(announceDelay)
}

// leaveUnit hands one unit over. After an unsure result it asks again, because
// the receiver may be responsible already.
func (d *Daemon) leaveUnit(ctx context.Context, unit *handover.Unit, candidates []id.HostID) (handover.Result, id.HostID, error) {
	for {
		result, to, err := d.sender.Leave(ctx, unit, candidates)
		if result != handover.Unsure || ctx.Err() != nil {
			return result, to, err
		}
		candidates = []id.HostID{to}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// writeClaims waits until the outcomes of callers' own keys are in the platform's
// table, as long as the platform and the drain's bound allow.
func (d *Daemon) writeClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait)
	defer cancel()
	for d.ownKeys.Pending() > 0 {
		select {
		case <-ctx.Done():
			d.log.Warn().Int("claims", d.ownKeys.Pending()).Msg("daemon: claims not written before leaving")
			return
		case <-time.After(retryPause):
		}
	}
}

// publishHeld publishes which records are held now.
func (d *Daemon) publishHeld() {
	held := d.held()
	d.gossip.Update(func(t *membership.Table) { t.SetHeld(held) })
}

// delegates returns random peers that are not suspected.
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

// reclaim asks the delegate of the slot's earlier epochs for their records after the registration.
func (d *Daemon) reclaim(ctx context.Context) error {
	ticker := time.NewTicker(reclaimPeriod)
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
		if time.Since(since) > reclaimTime {
			return nil
		}
		d.reclaimOnce(ctx)
	}
}

// reclaimOnce asks every host that holds records of an earlier epoch of the own slot.
func (d *Daemon) reclaimOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Peers.Timeout)
	defer cancel()
	for holder, at := range d.earlierHeld() {
		client, err := d.sender.Dial(holder)
		if err != nil {
			continue
		}
		_, err = client.Return(ctx, &rpchandover.ReturnRequest{
			Slot:      string(at.Host),
			Epoch:     uint64(at.Epoch),
			NextEpoch: uint64(d.state.Epoch()),
		})
		if err != nil {
			d.log.Warn().Err(err).Str("peer", string(holder)).Msg("handover: delegate did not answer")
		}
	}
}

// earlierHeld returns the hosts that hold records of an earlier epoch of the own slot.
func (d *Daemon) earlierHeld() map[id.HostID]ledger.Location {
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

var _ handover.Duties = (*dutyMoves)(nil)
