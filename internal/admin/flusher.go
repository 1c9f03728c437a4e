package admin

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/revocation"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// flushInterval is the longest pause between attempts to write emergency
// revocations. Each pause is random, so that usually one daemon of the fleet
// writes a record before the others try.
const flushInterval = 10 * time.Second

// Flusher writes emergency revocations to the platform once it is available again.
type Flusher struct {
	editor    *Editor
	emergency *revocation.Set
	logger    zerolog.Logger
}

// NewFlusher returns a flusher of the set.
func NewFlusher(editor *Editor, emergency *revocation.Set, logger zerolog.Logger) *Flusher {
	return &Flusher{editor: editor, emergency: emergency, logger: logger}
}

// Run flushes at random intervals until ctx ends, and returns nil then.
func (f *Flusher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(rand.N(flushInterval)):
		}
		if err := f.Flush(ctx); err != nil && ctx.Err() == nil {
			f.logger.Warn().Err(err).Msg("admin: writing emergency revocations to the platform failed")
		}
	}
}

// Flush writes every record whose key is not revoked in the catalogue. The
// change has the operator and change id of the record, so it is accepted once
// even if several daemons write it. A record of a key that does not exist is
// skipped. Error: the joined *fault.Error of all records that could not be
// written.
func (f *Flusher) Flush(ctx context.Context) error {
	var failed []error
	for _, record := range f.emergency.Records() {
		key := f.editor.source.Snapshot().Key(record.Key)
		if key != nil && key.Revoked {
			continue
		}
		err := f.write(ctx, record)
		var missing *NotFoundError
		if err != nil && !errors.As(err, &missing) {
			failed = append(failed, fault.New("write emergency revocation of "+string(record.Key), "platform", err))
		}
	}
	return errors.Join(failed...)
}

// maxChangeIDs bounds the change ids that are tried for one record. Someone who wants to block them all must foresee the
// key and use the operator's name.
const maxChangeIDs = 9

// write commits the revocation of one record. If the operator used its change
// id for another change, write tries some that are derived from the key id.
func (f *Flusher) write(ctx context.Context, record revocation.Record) error {
	var err error
	for n := range maxChangeIDs {
		request := &rpc.RevokeKeyRequest{ChangeId: string(changeIDOf(record, n)), Why: record.Why, KeyId: string(record.Key)}
		d, draftErr := revokeDraft(Operator{Name: record.Operator}, request)
		if draftErr != nil {
			return draftErr
		}
		d.authorized = true
		_, err = f.editor.commit(ctx, d)
		var reused *ReusedError
		if !errors.As(err, &reused) {
			return err
		}
	}
	return err
}

// changeIDOf returns the change id of the record, or a derived one if n is above zero.
func changeIDOf(record revocation.Record, n int) catalogue.ChangeID {
	derived := catalogue.ChangeID("emergency-" + record.Key)
	switch n {
	case 0:
		return record.ChangeID
	case 1:
		return derived
	}
	return derived + catalogue.ChangeID("-"+strconv.Itoa(n))
}
