package admin

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

const (
	// maxCommitTries bounds the optimistic commits tried for one change. A try
	// fails when another change was accepted since its read.
	maxCommitTries = 12
	// maxRetryDelay is the longest random delay before the next try.
	maxRetryDelay = 50 * time.Millisecond
)

// errTooManyConflicts reports that every try conflicted with another change.
var errTooManyConflicts = errors.New("other changes were accepted at every attempt")

// Editor commits changes to the catalogue. It is safe for concurrent use.
type Editor struct {
	store  Store
	source Source
	// now returns the wall-clock time for the audit trail.
	now func() time.Time
	// maxRetryDelay is the longest random delay between tries.
	maxRetryDelay time.Duration
}

// NewEditor returns an editor. now is usually time.Now.
func NewEditor(store Store, source Source, now func() time.Time) *Editor {
	return &Editor{store: store, source: source, now: now, maxRetryDelay: maxRetryDelay}
}

// commit prepares and commits the change of a draft, and retries on conflicts.
// Errors: *DeniedError, *StaleError, *InvalidError, *NotFoundError,
// *ReusedError, *UnavailableError, *OutcomeUnknownError.
func (e *Editor) commit(ctx context.Context, d *draft) (result, error) {
	var unresolved *unresolvedCommit
	for range maxCommitTries {
		state, err := e.store.Read(ctx, d.operator.Name, d.id, d.refs())
		if err != nil {
			return result{}, unknownOr(unresolved, &UnavailableError{Err: err})
		}
		if state.Accepted != 0 {
			return e.replay(ctx, d, state)
		}
		// The id is not accepted. Once the head row has moved, the condition of
		// the unresolved commit can never hold again, so it had no effect.
		if unresolved != nil && state.HeadRow > unresolved.headRow {
			unresolved = nil
		}
		done, retry, err := e.tryCommit(ctx, d, state)
		var unknown *platform.OutcomeUnknownError
		if errors.As(err, &unknown) {
			unresolved = &unresolvedCommit{err: unknown, headRow: state.HeadRow}
		} else if !retry {
			if err != nil {
				err = unknownOr(unresolved, err)
			}
			return done, err
		}
		sleep(ctx, rand.N(e.maxRetryDelay))
	}
	return result{}, unknownOr(unresolved, &UnavailableError{Err: errTooManyConflicts})
}

// unknownOr returns an *OutcomeUnknownError if a commit is unresolved, and err otherwise.
func unknownOr(unresolved *unresolvedCommit, err error) error {
	if unresolved != nil {
		return &OutcomeUnknownError{Err: unresolved.err}
	}
	return err
}

// sleep waits for d or until ctx ends. Callers pass a random d (jitter) to
// separate racing editors.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// replay returns the first result of an accepted change id.
func (e *Editor) replay(ctx context.Context, d *draft, state cataloguestore.State) (result, error) {
	if state.Fingerprint != d.fingerprint {
		return result{}, &ReusedError{ID: d.id, Revision: state.Accepted}
	}
	change, err := e.store.Change(ctx, state.Accepted)
	if err != nil || change == nil {
		return result{}, &OutcomeUnknownError{Err: err}
	}
	// As after a commit, update the daemon's copy without waiting for its next poll.
	_, _ = e.snapshotAt(ctx, change.Revision)
	return result{revision: change.Revision, replayed: true, edits: change.Edits}, nil
}

// tryCommit makes one try. retry reports that the state must be read
// again: another change came first, or the outcome is unknown.
func (e *Editor) tryCommit(ctx context.Context, d *draft, state cataloguestore.State) (done result, retry bool, err error) {
	if err := checkRevisions(d, state); err != nil {
		return result{}, false, err
	}
	snapshot, err := e.snapshotAt(ctx, state.Head)
	if err != nil {
		return result{}, false, &UnavailableError{Err: err}
	}
	if snapshot.Revision() > state.Head {
		return result{}, true, nil
	}
	change, err := e.prepare(d, state, snapshot)
	if err != nil {
		return result{}, false, err
	}
	if len(change.Edits) == 0 || d.dryRun {
		return result{revision: state.Head, edits: change.Edits}, false, nil
	}
	return e.write(ctx, d, state, change)
}

// snapshotAt returns the daemon's copy of the catalogue at the given revision or later.
func (e *Editor) snapshotAt(ctx context.Context, revision catalogue.Revision) (*catalogue.Snapshot, error) {
	if e.source.Snapshot().Revision() < revision {
		if err := e.source.Poll(ctx); err != nil {
			return nil, err
		}
	}
	snapshot := e.source.Snapshot()
	if snapshot.Revision() < revision {
		return nil, errors.New("this daemon's copy of the catalogue is behind")
	}
	return snapshot, nil
}

// write commits the prepared change.
func (e *Editor) write(
	ctx context.Context, d *draft, state cataloguestore.State, change *catalogue.Change,
) (done result, retry bool, err error) {
	err = e.store.Commit(ctx, state, change, d.fingerprint)
	var conflict *platform.ConflictError
	var unknown *platform.OutcomeUnknownError
	var tooLarge *codec.DecodeError
	switch {
	case err == nil:
		// Update the daemon's copy without waiting for its next poll.
		_ = e.source.Poll(ctx)
		return result{revision: change.Revision, edits: change.Edits}, false, nil
	case errors.As(err, &conflict):
		return result{}, true, nil
	case errors.As(err, &unknown):
		return result{}, true, err
	case errors.As(err, &tooLarge):
		return result{}, false, invalid("edits", "%v", tooLarge)
	default:
		return result{}, false, &UnavailableError{Err: err}
	}
}
