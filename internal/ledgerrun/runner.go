package ledgerrun

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// Runner issues tickets and decides the sends that arrive at this daemon, with its own ledgers or by
// calls to the daemons that hold the others. It is safe for concurrent use.
type Runner struct {
	self          id.HostID
	clock         clock.Clock
	random        io.Reader
	ownKeys       OwnKeys
	directory     Directory
	dial          Dialer
	settings      Settings
	background    func(func())
	backgroundSem chan struct{}
	pending       sync.WaitGroup

	mu          sync.Mutex
	ownLedger   *lockedLedger
	ledgers     map[ledger.Location]*lockedLedger
	recentCalls callCache
}

// New returns a Runner without ledgers.
func New(c Config) (*Runner, error) {
	if err := c.Settings.Ledger.Validate(); err != nil {
		return nil, err
	}
	r := &Runner{
		self: c.Self, clock: c.Clock, random: c.Random, ownKeys: c.OwnKeys, directory: c.Directory,
		dial: c.Dial, settings: c.Settings, background: c.Background,
		backgroundSem: make(chan struct{}, max(c.Settings.MaxBackground, 1)),
		ledgers:       map[ledger.Location]*lockedLedger{},
	}
	r.recentCalls = newCallCache(c.Settings.MaxTokens, c.Settings.Ledger.MaxRun)
	if r.background == nil {
		r.background = func(f func()) { go f() }
	}
	return r, nil
}

// StartEpoch creates the ledger of this daemon's epoch with a newly drawn secret. It must be called
// only once.
func (r *Runner) StartEpoch(epoch id.Epoch) error {
	var secret ledger.Secret
	if _, err := io.ReadFull(r.random, secret[:]); err != nil {
		return fault.New("draw ticket secret", "", err)
	}
	l, err := ledger.New(ledger.Location{Host: r.self, Epoch: epoch}, secret, r.settings.Ledger)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	invariant.Check(r.ownLedger == nil, "ledgerrun-register-once", "host %s registered twice", r.self)
	r.ownLedger = r.addLedger(l)
	return nil
}

// addLedger adds a ledger; the caller holds the lock.
func (r *Runner) addLedger(l *ledger.Ledger) *lockedLedger {
	h := &lockedLedger{clock: r.clock, ledger: l}
	h.onHandedOver = func(to id.HostID, late []finishCall) {
		for _, f := range late {
			r.sendFinish(to, f)
		}
	}
	r.ledgers[l.Location()] = h
	return h
}

// Issue returns count tickets, but at least one and at most 100. The error is *NotIssuedError when
// another daemon may be able to issue them.
func (r *Runner) Issue(customer id.CustomerID, count int) ([]string, error) {
	r.mu.Lock()
	own := r.ownLedger
	r.mu.Unlock()
	if own == nil {
		return nil, &NotIssuedError{Reason: "the daemon has no epoch"}
	}
	tickets := make([]string, min(max(count, 1), maxTicketsPerIssue))
	for i := range tickets {
		var random ledger.Random
		if _, err := io.ReadFull(r.random, random[:]); err != nil {
			return nil, fault.New("draw ticket", "", err)
		}
		text, err := own.issue(customer, random)
		var refused *ledger.IssueError
		if errors.As(err, &refused) {
			return nil, &NotIssuedError{Reason: refused.Error()}
		}
		if err != nil {
			return nil, fault.New("issue ticket", "", err)
		}
		tickets[i] = text
	}
	return tickets, nil
}

// Begin decides one send with an idempotency key. The key may have the quotes of a structured-field
// string. The error is that of ctx; nothing may be dispatched then, and the claim, if any, is released.
func (r *Runner) Begin(ctx context.Context, customer id.CustomerID, key, fingerprint string) (ledger.Decision, error) {
	key = unquote(key)
	if !ledger.IsTicket(key) {
		return r.ownKeys.Begin(ctx, customer, key, fingerprint)
	}
	ticket, err := ledger.Parse(key)
	if err != nil {
		return ledger.Decision{Kind: ledger.Invalid}, nil
	}
	at := ledger.Location{Host: ticket.Host, Epoch: ticket.Epoch}
	d, local := r.beginLocal(at, customer, key, fingerprint)
	if local && d.Kind != ledger.HandedOver {
		return d, nil
	}
	holders := r.holders(at, d.At.Host)
	if local && len(holders) == 0 {
		return d, nil
	}
	return r.beginRemote(ctx, at, holders, beginCall{customer: customer, ticket: key, fingerprint: fingerprint})
}

// holders returns the other daemons that may hold a ledger: first the one in the directory, then the
// one to which this daemon handed it over, if any, which may have handed it on and be lost since.
func (r *Runner) holders(at ledger.Location, receiver id.HostID) []id.HostID {
	var all []id.HostID
	if h, known := r.directory.Holder(at); known && h != r.self {
		all = append(all, h)
	}
	if receiver != "" && !slices.Contains(all, receiver) {
		all = append(all, receiver)
	}
	return all
}

// beginLocal decides a send with a ledger of this daemon; local is false if it has none at the
// location.
func (r *Runner) beginLocal(at ledger.Location, customer id.CustomerID, ticket, fingerprint string) (d ledger.Decision, local bool) {
	h := r.find(at)
	if h == nil {
		return ledger.Decision{}, false
	}
	return h.begin(customer, ticket, fingerprint), true
}

// find returns a ledger of this daemon, or nil.
func (r *Runner) find(at ledger.Location) *lockedLedger {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledgers[at]
}

// HeldLedger describes a ledger that this daemon holds, for its membership record.
type HeldLedger struct {
	At ledger.Location
	// Active means that the ledger allows runs. A directory prefers active ledgers to those
	// that are being handed over.
	Active bool
}

// HeldLedgers returns the ledgers that this daemon holds, without those that it handed over, in a stable
// order.
func (r *Runner) HeldLedgers() []HeldLedger {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []HeldLedger
	for at, h := range r.ledgers {
		if _, local := h.size(); local {
			all = append(all, HeldLedger{At: at, Active: h.active()})
		}
	}
	slices.SortFunc(all, func(a, b HeldLedger) int {
		return cmp.Or(cmp.Compare(a.At.Host, b.At.Host), cmp.Compare(a.At.Epoch, b.At.Epoch))
	})
	return all
}

// Expire drops expired claims, received ledgers that are no longer needed and old results of calls.
// It should be called about once a minute.
func (r *Runner) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentCalls.expire(r.clock.Now())
	for at, h := range r.ledgers {
		if h.expire() {
			delete(r.ledgers, at)
		}
	}
}

// Wait waits until all background calls to other daemons have ended.
func (r *Runner) Wait() {
	r.pending.Wait()
}

// unquote removes the quotes of a structured-field string.
func unquote(key string) string {
	if len(key) >= 2 && strings.HasPrefix(key, `"`) && strings.HasSuffix(key, `"`) {
		return key[1 : len(key)-1]
	}
	return key
}
