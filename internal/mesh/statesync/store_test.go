package statesync_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// errDown is the failure of a store that is down.
var errDown = errors.New("store is down")

// fakeStore is an in-memory row store with fault injection. It implements platform.Feed.
type fakeStore struct {
	memory *platform.Memory

	mu      sync.Mutex
	changed chan struct{}
	down    bool
	// dropResponses makes commits take effect and report an unknown outcome.
	dropResponses bool
	// historyLost makes the next watch fail with platform.ErrHistoryLost.
	historyLost bool
	// silent leaves calls unanswered, those that were waiting when it was set, too.
	silent bool
	// downPrefix makes the calls for keys with a prefix fail; empty for none.
	downPrefix string
	// deaf makes watches miss changes: what they answer at the end of their wait is right.
	deaf bool
	// stranding counts the calls of strand.
	stranding int
	scans     int
	watches   int
	// watchesOf counts the watches of each prefix.
	watchesOf map[string]int
	commits   int
}

// newFakeStore returns an empty store.
func newFakeStore() *fakeStore {
	return &fakeStore{memory: platform.NewMemory(), changed: make(chan struct{}), watchesOf: map[string]int{}}
}

// connection returns another access to the rows of a store, with faults of its own. Its watches notice changes within
// connectionPoll.
func (f *fakeStore) connection() *fakeStore {
	other := newFakeStore()
	other.memory = f.memory
	go func() {
		for range 6000 {
			time.Sleep(connectionPoll)
			other.set(func(*fakeStore) {})
		}
	}()
	return other
}

// connectionPoll is the interval at which connections look for changes.
const connectionPoll = 20 * time.Millisecond

// set changes the injected faults and wakes all watches.
func (f *fakeStore) set(change func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
	f.wake()
}

// wake wakes all watches. The caller must hold f.mu.
func (f *fakeStore) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// counts returns the number of scans and watches so far.
func (f *fakeStore) counts() (scans, watches int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scans, f.watches
}

// watchesAt returns the number of watches of a prefix so far.
func (f *fakeStore) watchesAt(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchesOf[prefix]
}

// put writes a row on behalf of another writer.
func (f *fakeStore) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.memory.Table().Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: key, Value: []byte(value)}}})
	if err != nil {
		panic(err)
	}
	f.wake()
}

// remove deletes a row on behalf of another writer.
func (f *fakeStore) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.memory.Table().Commit(context.Background(), platform.Txn{Deletes: []string{key}}); err != nil {
		panic(err)
	}
	f.wake()
}

// Commit implements platform.Feed.
func (f *fakeStore) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	if f.silent {
		return 0, f.hang(ctx, "commit")
	}
	if f.down {
		return 0, &platform.NotDoneError{Step: "commit", Err: errDown}
	}
	revision, err := f.memory.Table().Commit(ctx, txn)
	f.wake()
	if err == nil && f.dropResponses {
		return 0, &platform.OutcomeUnknownError{Step: "commit", Err: errDown}
	}
	return revision, err
}

// Scan implements platform.Feed.
func (f *fakeStore) Scan(ctx context.Context, prefix, after string, limit int) (platform.Rows, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scans++
	if f.silent {
		return platform.Rows{}, f.hang(ctx, "scan")
	}
	if f.down || (f.downPrefix != "" && prefix == f.downPrefix) {
		return platform.Rows{}, &platform.NotDoneError{Step: "scan", Err: errDown}
	}
	return f.memory.Table().Scan(ctx, prefix, after, limit)
}

// Watch implements platform.Feed.
func (f *fakeStore) Watch(ctx context.Context, prefix string, since platform.Revision, wait time.Duration) (platform.Rows, error) {
	timeout := time.After(wait)
	f.mu.Lock()
	f.watches++
	f.watchesOf[prefix]++
	stranding := f.stranding
	for {
		if f.silent || f.stranding != stranding {
			defer f.mu.Unlock()
			return platform.Rows{}, f.hang(ctx, "watch")
		}
		if f.down {
			f.mu.Unlock()
			return platform.Rows{}, &platform.NotDoneError{Step: "watch", Err: errDown}
		}
		if f.historyLost {
			f.historyLost = false
			f.mu.Unlock()
			return platform.Rows{}, &platform.NotDoneError{Step: "watch", Err: platform.ErrHistoryLost}
		}
		rows, err := f.memory.Table().Changes(ctx, prefix, since, 100)
		if err != nil || len(rows.Rows) > 0 {
			f.mu.Unlock()
			return rows, err
		}
		changed, deaf := f.changed, f.deaf
		f.mu.Unlock()
		if deaf {
			changed = nil
		}
		select {
		case <-changed:
		case <-timeout:
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.silent || f.stranding != stranding {
				return platform.Rows{}, f.hang(ctx, "watch")
			}
			return f.memory.Table().Changes(ctx, prefix, since, 100)
		case <-ctx.Done():
			return platform.Rows{}, &platform.NotDoneError{Step: "watch", Err: ctx.Err()}
		}
		f.mu.Lock()
	}
}

// strand leaves the watches that are open now without an answer. The store serves all later calls.
func (f *fakeStore) strand() {
	f.set(func(f *fakeStore) { f.stranding++ })
}

// hang leaves a call unanswered until its caller gives up. The caller must hold f.mu, which is released meanwhile.
func (f *fakeStore) hang(ctx context.Context, step string) error {
	f.mu.Unlock()
	<-ctx.Done()
	f.mu.Lock()
	return &platform.OutcomeUnknownError{Step: step, Err: ctx.Err()}
}
