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

// Default limits.
const (
	DefaultCallTimeout      = 500 * time.Millisecond
	DefaultMaxAdoptedClaims = 400_000
	DefaultMaxTokens        = 20_000
	DefaultMaxBackground    = 256
)

// maxTicketsPerIssue is the maximum number of tickets that one call of Issue returns.
const maxTicketsPerIssue = 100

// OwnKeys decides sends whose keys the callers chose themselves; claims.Store implements it.
type OwnKeys interface {
	Begin(ctx context.Context, customer id.CustomerID, key, fingerprint string) (ledger.Decision, error)
	Finish(claim ledger.ClaimID, outcome ledger.Outcome)
}

// Directory finds the daemon that holds a ledger, from the state of gossip.
type Directory interface {
	// Holder returns the host of the daemon that holds the ledger: the slot's own host while the
	// epoch is current, otherwise the delegate that announced the ledger.
	Holder(at ledger.Location) (id.HostID, bool)
}

// Dialer returns a client of the daemon on a host.
type Dialer func(host id.HostID) (ledgerpb.Tickets, error)

// Settings are the limits of this daemon's ledgers and of its calls to other daemons.
type Settings struct {
	// Ledger has the limits of each ledger.
	Ledger ledger.Settings
	// CallTimeout bounds one call to another daemon.
	CallTimeout time.Duration
	// MaxAdoptedClaims is the maximum number of claims in all received ledgers together.
	MaxAdoptedClaims int
	// MaxTokens is the maximum number of recent calls of Begin by other daemons whose results are
	// kept, so that repeated calls get the same decision.
	MaxTokens int
	// MaxBackground is the maximum number of concurrent background calls to other daemons, which
	// deliver outcomes and cancellations. Further ones are dropped.
	MaxBackground int
}

// DefaultSettings returns the default limits.
func DefaultSettings() Settings {
	return Settings{
		Ledger: ledger.DefaultSettings(), CallTimeout: DefaultCallTimeout,
		MaxAdoptedClaims: DefaultMaxAdoptedClaims, MaxTokens: DefaultMaxTokens, MaxBackground: DefaultMaxBackground,
	}
}

// Config has the dependencies and settings for New.
type Config struct {
	Self      id.HostID
	Clock     clock.Clock
	Random    io.Reader
	OwnKeys   OwnKeys
	Directory Directory
	Dial      Dialer
	Settings  Settings
	// Background runs background calls to other daemons; nil means a goroutine for each.
	Background func(func())
}

// NotIssuedError reports why no tickets were issued. Another daemon may be able to issue them.
type NotIssuedError struct {
	// Reason is a text for the caller.
	Reason string
}

// Error implements error.
func (e *NotIssuedError) Error() string {
	return fmt.Sprintf("no tickets issued: %s", e.Reason)
}
