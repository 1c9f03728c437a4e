package ledgerrun

import (
	"context"
	"fmt"
	"io"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	ledgerpb "buckthornlatch.example/buckthornlatch/rpc/ledger"
)

// Default limits of a runner.
const (
	DefaultCallTimeout      = 500 * time.Millisecond
	DefaultMaxAdoptedClaims = 400_000
	DefaultMaxTokens        = 20_000
	DefaultMaxBackground    = 256
)

// maxTickets bounds one call of Issue.
const maxTickets = 100

// OwnKeys claims keys that callers choose; claims.Store implements it.
type OwnKeys interface {
	Begin(ctx context.Context, customer id.CustomerID, key, fingerprint string) (ledger.Decision, error)
	Finish(claim ledger.ClaimID, outcome ledger.Outcome)
}

// Directory finds the daemon that holds a slot's records, from what gossip says.
type Directory interface {
	// Holder returns the host of the daemon that holds the records: the slot's own while its
	// epoch is current, else the delegate that announced them.
	Holder(at ledger.Location) (id.HostID, bool)
}

// Dialer returns the client of a daemon.
type Dialer func(host id.HostID) (ledgerpb.Tickets, error)

// Settings are the limits of a runner.
type Settings struct {
	// Ledger holds the limits of each ledger.
	Ledger ledger.Settings
	// CallTimeout bounds one call to another daemon.
	CallTimeout time.Duration
	// MaxAdoptedClaims is the number of claims held for other daemons' epochs together.
	MaxAdoptedClaims int
	// MaxTokens is the number of other daemons' recent calls of Begin that are remembered.
	MaxTokens int
	// MaxBackground is the number of outcomes on their way to other daemons.
	MaxBackground int
}

// DefaultSettings returns the default limits.
func DefaultSettings() Settings {
	return Settings{
		Ledger: ledger.DefaultSettings(), CallTimeout: DefaultCallTimeout,
		MaxAdoptedClaims: DefaultMaxAdoptedClaims, MaxTokens: DefaultMaxTokens, MaxBackground: DefaultMaxBackground,
	}
}

// Config has what a Runner needs.
type Config struct {
	Self      id.HostID
	Clock     clock.Clock
	Random    io.Reader
	OwnKeys   OwnKeys
	Directory Directory
	Dial      Dialer
	Settings  Settings
	// Background runs work that nobody waits for; nil starts goroutines.
	Background func(func())
}

// NotIssuedError says why no tickets were issued; the request for them may go to another daemon.
type NotIssuedError struct {
	// Reason is for the caller.
	Reason string
}

// Error implements error.
func (e *NotIssuedError) Error() string {
	return fmt.Sprintf("no tickets issued: %s", e.Reason)
}
