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
	// maxAttempts bounds the commits tried for one change, each of which fails
	// when another change was accepted in between.
	maxAttempts = 12
	// retryDelay is the longest pause before a further attempt.
	retryDelay = 50 * time.Millisecond
)

// errBusy reports that every attempt met another change.
var errBusy = errors.New("other changes were accepted at every attempt")

// Editor makes changes. It is safe for concurrent use.
type Editor struct {
	store  Store
	source Source
	// now returns the wall-clock time for the audit trail.
	now func() time.Time
	// pause is the longest pause between attempts.
	pause time.Duration
}

// NewEditor returns an editor. now is usually time.Now.
func NewEditor(store Store, source Source, now func() time.Time) *Editor {
	return &Editor{store: store, source: source, now: now, pause: retryDelay}
}

// commit makes the change of a draft.
// Errors: *DeniedError, *StaleError, *InvalidError, *NotFoundError,
// *ReusedError, *UnavailableError, *UnknownError.
func (e *Editor) commit(ctx context.Context, d *draft) (result, error) {
	var open *pending
	for range maxAttempts {
		state, err := e.store.Read(ctx, d.operator.Name, d.id, d.refs())
		if err != nil {
			return result{}, openOr(open, &UnavailableError{Err: err})
		}
		if state.Accepted != 0 {
			return e.replay(ctx, d, state)
		}
		// The id is not accepted. Once the head has moved, the condition of the
		// open commit can never hold again.
		if open != nil && state.HeadRow > open.headRow {
			open = nil
		}
		done, retry, err := e.attempt(ctx, d, state)
		var unknown *platform.OutcomeUnknownError
		if errors.As(err, &unknown) {
			open = &pending{err: unknown, headRow: state.HeadRow}
		} else if !retry {
			if err != nil {
				err = openOr(open, err)
			}
			return done, err
		}
		wait(ctx, rand.N(e.pause))
	}
	return result{}, openOr(open, &UnavailableError{Err: errBusy})
}

// openOr returns an *UnknownError when a commit is open, or else err.
func openOr(open *pending, err error) error {
	if open != nil {
		return &UnknownError{Err: open.err}
	}
	return err
}

// wait waits for d or until ctx ends. A random d separates racing editors.
func wait(ctx context.Context, d time.Duration) {
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
		return result{}, &UnknownError{Err: err}
	}
	// As after a commit, the daemon's own copy need not wait for its next poll.
	_, _ = e.snapshotAt(ctx, change.Revision)
	return result{revision: change.Revision, replayed: true, edits: change.Edits}, nil
}

// attempt tries one commit. retry says that another change came first.
func (e *Editor) attempt(ctx context.Context, d *draft, state cataloguestore.State) (done result, retry bool, err error) {
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

// snapshotAt returns the daemon's copy, at the revision or later.
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
		// The daemon's own copy need not wait for its next poll.
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
