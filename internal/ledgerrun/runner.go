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

// Runner decides the sends that arrive at this daemon. It is safe for concurrent use.
type Runner struct {
	self       id.HostID
	clock      clock.Clock
	random     io.Reader
	ownKeys    OwnKeys
	directory  Directory
	dial       Dialer
	settings   Settings
	background func(func())
	slots      chan struct{}
	pending    sync.WaitGroup

	mu     sync.Mutex
	own    *held
	held   map[ledger.Location]*held
	tokens tokens
}

// New returns a runner that holds no ledger.
func New(c Config) (*Runner, error) {
	if err := c.Settings.Ledger.Validate(); err != nil {
		return nil, err
	}
	r := &Runner{
		self: c.Self, clock: c.Clock, random: c.Random, ownKeys: c.OwnKeys, directory: c.Directory,
		dial: c.Dial, settings: c.Settings, background: c.Background,
		slots: make(chan struct{}, max(c.Settings.MaxBackground, 1)),
		held:  map[ledger.Location]*held{},
	}
	r.tokens = newTokens(c.Settings.MaxTokens, c.Settings.Ledger.MaxRun)
	if r.background == nil {
		r.background = func(f func()) { go f() }
	}
	return r, nil
}

// Registered starts the ledger of this daemon's epoch with a fresh secret.
func (r *Runner) Registered(epoch id.Epoch) error {
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
	invariant.Check(r.own == nil, "ledgerrun-register-once", "host %s registered twice", r.self)
	r.own = r.hold(l)
	return nil
}

// hold adds a ledger; the lock is held.
func (r *Runner) hold(l *ledger.Ledger) *held {
	h := &held{clock: r.clock, ledger: l}
	h.moved = func(to id.HostID, late []lateFinish) {
		for _, f := range late {
			r.sendFinish(to, f)
		}
	}
	r.held[l.Location()] = h
	return h
}

// Issue returns count tickets, at least one and at most 100. The error is *NotIssuedError when
// another daemon may issue them.
func (r *Runner) Issue(customer id.CustomerID, count int) ([]string, error) {
	r.mu.Lock()
	own := r.own
	r.mu.Unlock()
	if own == nil {
		return nil, &NotIssuedError{Reason: "the daemon has no epoch"}
	}
	tickets := make([]string, min(max(count, 1), maxTickets))
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

// Begin decides one send with an idempotency key, with or without the quotes of the header's
// string form. The error is that of ctx; then nothing was dispatched and the claim, if any, is released.
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
	d, here := r.beginHere(at, customer, key, fingerprint)
	if here && d.Kind != ledger.HandedOver {
		return d, nil
	}
	holders := r.holders(at, d.At.Host)
	if here && len(holders) == 0 {
		return d, nil
	}
	return r.beginThere(ctx, at, holders, beginCall{customer: customer, ticket: key, fingerprint: fingerprint})
}

// holders returns the daemons that may hold a ledger: the one that gossip names and the one to which
// this daemon handed it over, if any. The latter may have handed it on and be lost.
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

// beginHere decides with a ledger of this daemon; here is false when it has none for the ticket.
func (r *Runner) beginHere(at ledger.Location, customer id.CustomerID, ticket, fingerprint string) (d ledger.Decision, here bool) {
	h := r.find(at)
	if h == nil {
		return ledger.Decision{}, false
	}
	return h.begin(customer, ticket, fingerprint), true
}

// find returns a ledger of this daemon, or nil.
func (r *Runner) find(at ledger.Location) *held {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[at]
}

// Holding is a ledger that this daemon has, for its membership record.
type Holding struct {
	At ledger.Location
	// Active says that its tickets may run here. A directory prefers active holdings to those
	// that are being handed over.
	Active bool
}

// Held returns the ledgers that this daemon has and did not hand over, in a stable order.
func (r *Runner) Held() []Holding {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Holding
	for at, h := range r.held {
		if _, here := h.size(); here {
			all = append(all, Holding{At: at, Active: h.active()})
		}
	}
	slices.SortFunc(all, func(a, b Holding) int {
		return cmp.Or(cmp.Compare(a.At.Host, b.At.Host), cmp.Compare(a.At.Epoch, b.At.Epoch))
	})
	return all
}

// Expire drops what has expired. It should be called about once a minute.
func (r *Runner) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens.expire(r.clock.Now())
	for at, h := range r.held {
		if h.over() {
			delete(r.held, at)
		}
	}
}

// Wait returns when no outcome is on its way to another daemon.
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
