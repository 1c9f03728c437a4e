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

// provisionLedgers builds the ticket ledgers, the claims of caller-chosen keys and the handover
// of records.
func (d *Daemon) provisionLedgers() error {
	host := id.HostID(d.settings.Host.Name)
	holders := &recordHolders{gossip: d.gossip, peers: d.peers, client: d.controlClient}
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
	runnerSettings := ledgerrun.DefaultSettings()
	runnerSettings.Ledger.Window = d.settings.Tickets.Window
	runnerSettings.Ledger.MaxClaims = d.settings.Tickets.MaxClaims
	runnerSettings.Ledger.MaxClaimsPerCustomer = min(runnerSettings.Ledger.MaxClaimsPerCustomer, runnerSettings.Ledger.MaxClaims)
	runnerSettings.Ledger.MaxStoredBytes = int(d.settings.Tickets.MaxStoredBytes)
	runnerSettings.Ledger.MaxResponseBytes = d.settings.Limits.MaxResponseBytes
	d.tickets, err = ledgerrun.New(ledgerrun.Config{
		Self:      host,
		Clock:     d.clock,
		Random:    rand.Reader,
		OwnKeys:   ownKeys,
		Directory: holders,
		Dial:      holders.tickets,
		Settings:  runnerSettings,
	})
	if err != nil {
		return fault.New("create ledgers", "", err)
	}
	d.dutyHandover = &dutyHandover{duties: d.duties, clock: d.clock}
	d.handoverSender = &handover.Sender{Self: host, Dial: holders.handover, Settings: handover.DefaultSettings()}
	d.handoverReceiver, err = handover.NewServer(handover.Config{
		Holder: d.tickets,
		Duties: d.dutyHandover,
		Sender: d.handoverSender,
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
