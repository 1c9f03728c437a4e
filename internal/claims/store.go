package claims

import (
	"context"
	"io"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// Config holds the dependencies and settings of a Store.
type Config struct {
	Table  Table
	Clock  clock.Clock
	Random io.Reader
	// Host and Incarnation identify this process in the rows.
	Host        id.HostID
	Incarnation id.Incarnation
	// Alive reports whether a process is known to be running. Sends that meet a claim of such a
	// process are answered InProgress, others Unknown. Nil counts no process as running.
	Alive    func(id.HostID, id.Incarnation) bool
	Settings Settings
}

// Store claims keys in the platform's table. It is safe for concurrent use.
type Store struct {
	table       Table
	clock       clock.Clock
	random      io.Reader
	owner       id.HostID
	incarnation id.Incarnation
	alive       func(id.HostID, id.Incarnation) bool
	settings    Settings
	wake        chan struct{}

	mu      sync.Mutex
	entries map[keyHash]*entry
	// running maps the serial of a claim that may be finished to its entry.
	running    map[uint64]*entry
	nextSerial uint64
	// claims, writes and removals are the queues of operations for the next commits.
	claims, writes, removals []*entry
	pendingBytes             int
	commitTokens             tokenBucket
}

// New returns a store. Its queues are processed by Run.
func New(c Config) (*Store, error) {
	if err := c.Settings.Validate(); err != nil {
		return nil, err
	}
	alive := c.Alive
	if alive == nil {
		alive = func(id.HostID, id.Incarnation) bool { return false }
	}
	return &Store{
		table: c.Table, clock: c.Clock, random: c.Random, owner: c.Host, incarnation: c.Incarnation,
		alive: alive, settings: c.Settings, wake: make(chan struct{}, 1),
		entries: map[keyHash]*entry{}, running: map[uint64]*entry{}, nextSerial: 1,
		commitTokens: tokenBucket{interval: c.Settings.CommitInterval, burst: c.Settings.CommitBurst},
	}, nil
}

// Begin decides one send of a request with a caller's own key. It waits for at most
// MaxWait plus the time of one commit and one read. When ctx ends first, it returns the
// context's error, and the claim is released.
func (s *Store) Begin(ctx context.Context, customer id.CustomerID, key, fingerprint string) (ledger.Decision, error) {
	hash := hashKey(customer, key)
	decided, d := s.submit(hash, fingerprint)
	if decided == nil {
		return s.withResponse(ctx, hash, d), nil
	}
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
		s.cancel(hash, decided)
		return ledger.Decision{}, ctx.Err()
	}
}

// withResponse reads a response that only the row has. When it cannot be read, the decision
// is RanNotKept.
func (s *Store) withResponse(ctx context.Context, hash keyHash, d ledger.Decision) ledger.Decision {
	if d.Kind != ledger.Replay || d.Response.Body != nil {
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CommitTimeout)
	defer cancel()
	rows, err := s.table.Get(ctx, []string{hash.rowKey()})
	if err == nil && len(rows) == 1 {
		if v := decodeRow(rows[0].Value); v.State == rowRan {
			return ledger.Decision{Kind: ledger.Replay, Response: v.response()}
		}
	}
	return ledger.Decision{Kind: ledger.RanNotKept, Response: ledger.Response{Status: d.Response.Status}}
}

// submit decides from the daemon's own claim on the key, with a nil channel, or queues a claim,
// whose decision arrives on the channel.
func (s *Store) submit(hash keyHash, fingerprint string) (chan ledger.Decision, ledger.Decision) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.entries[hash]
	if old != nil {
		if d, ok := old.answer(hashFingerprint(fingerprint)); ok {
			return nil, d
		}
	}
	if len(s.claims) >= s.settings.MaxQueue || (old == nil && len(s.entries) >= s.settings.MaxRows) {
		return nil, ledger.Decision{Kind: ledger.StoreUnavailable}
	}
	e := &entry{
		hash: hash, serial: s.nextSerial, fingerprint: hashFingerprint(fingerprint),
		deadline: now.Add(s.settings.MaxWait), decided: make(chan ledger.Decision, 1),
	}
	if _, err := io.ReadFull(s.random, e.claim[:]); err != nil {
		return nil, ledger.Decision{Kind: ledger.StoreUnavailable}
	}
	if old != nil {
		e.revision = old.revision
		e.replacesClaim = true
	}
	s.nextSerial++
	s.entries[hash] = e
	s.claims = append(s.claims, e)
	s.signal()
	return e.decided, ledger.Decision{}
}

// cancel withdraws a send whose caller stopped waiting.
func (s *Store) cancel(hash keyHash, decided chan ledger.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[hash]; e != nil && e.decided == decided {
		s.withdraw(e)
		return
	}
	// The decision was made before and is in the channel's buffer.
	d := <-decided
	if d.Kind == ledger.Run {
		s.finish(d.Claim, ledger.NotRun(ledger.NeverDispatched))
	}
}

// signal wakes Run.
func (s *Store) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
