package daemon

import (
	"crypto/rand"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/claims"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledgerrun"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// and the handover of records.
func (d *Daemon) provisionLedgers() error {
	host := id.HostID(d.settings.Host.Name)
	holders := &recordHolders{gossip: d.gossip, peers: d.peers, client: d.client}
	claimSettings := claims.DefaultSettings()
	claimSettings.CommitInterval = time.Duration(float64(time.Second) / d.settings.Platform.ClaimCommitsPerSecond)
	ownKeys, err := claims.New(claims.Config{
		Table:       &claimTable{table: d.platform.Table()},
		Clock:       d.clock,
		Random:      rand.Reader,
		Host:        host,
		Incarnation: d.incarnation,
		Alive:       d.isAlive,
		Settings:    claimSettings,
	})
	if err != nil {
		return fault.New("create claims", "", err)
	}
	d.ownKeys = ownKeys
	runner := ledgerrun.DefaultSettings()
	runner.Ledger.Window = d.settings.Tickets.Window
	runner.Ledger.MaxClaims = d.settings.Tickets.MaxClaims
	runner.Ledger.MaxClaimsPerCustomer = min(runner.Ledger.MaxClaimsPerCustomer, runner.Ledger.MaxClaims)
	runner.Ledger.MaxStoredBytes = int(d.settings.Tickets.MaxStoredBytes)
	runner.Ledger.MaxResponseBytes = d.settings.Limits.MaxResponseBytes
	d.tickets, err = ledgerrun.New(ledgerrun.Config{
		Self:      host,
		Clock:     d.clock,
		Random:    rand.Reader,
		OwnKeys:   ownKeys,
		Directory: holders,
		Dial:      holders.tickets,
		Settings:  runner,
	})
	if err != nil {
		return fault.New("create ledgers", "", err)
	}
	d.moves = &dutyMoves{duties: d.duties, clock: d.clock}
	d.sender = &handover.Sender{Self: host, Dial: holders.handover, Settings: handover.DefaultSettings()}
	d.receiver, err = handover.NewServer(handover.Config{
		Holder: d.tickets,
		Duties: d.moves,
		Sender: d.sender,
		Clock:  d.clock,
		Random: rand.Reader,
	})
	return fault.New("create handover", "", err)
}

// isAlive reports whether a process is known to be running.
func (d *Daemon) isAlive(host id.HostID, incarnation id.Incarnation) bool {
	alive := false
	d.gossip.View(func(t *membership.Table) {
		record := t.Record(host)
		alive = record != nil && record.Incarnation == incarnation && !t.Suspected(host, d.clock.Now())
	})
	return alive
}
