package admin

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/revocation"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// flushInterval is the longest pause between attempts to write emergency
// revocations. Each pause is random, so that the first of the fleet's daemons
// usually spares the others the write.
const flushInterval = 10 * time.Second

// Flusher writes emergency revocations to the platform when it is back.
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
			f.logger.Warn().Err(err).Msg("admin: emergency revocations not written")
		}
	}
}

// Flush writes every record whose key is not revoked in the catalogue. The
// change has the operator and change id of the record, so that however many
// daemons write it, it is accepted once. A record
// of a key that does not exist is passed over. Error: the *fault.Error of every
// record that could not be written, joined.
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

// write makes one change. A change id that the operator used for something
// else is replaced by one that names the key.
func (f *Flusher) write(ctx context.Context, record revocation.Record) error {
	for _, changeID := range []catalogue.ChangeID{record.ChangeID, catalogue.ChangeID("emergency-" + record.Key)} {
		request := &rpc.RevokeKeyRequest{ChangeId: string(changeID), Why: record.Why, KeyId: string(record.Key)}
		d, err := revokeDraft(Operator{Name: record.Operator}, request)
		if err != nil {
			return err
		}
		d.authorized = true
		_, err = f.editor.commit(ctx, d)
		var reused *ReusedError
		if !errors.As(err, &reused) {
			return err
		}
	}
	return nil
}
