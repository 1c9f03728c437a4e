package admin

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"
	"pgregory.net/rapid"

	"buckthornlatch.example/buckthornlatch/internal/audit"
	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/internal/revocation"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
	rpccatalogue "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// daemon is one process of the fleet under test.
type daemon struct {
	table     *faultyTable
	sync      *catalogsync.Syncer
	editor    *Editor
	service   *Service
	emergency *revocation.Set
	// revision and revoked are the state last observed at this process.
	revision catalogue.Revision
	revoked  map[catalogue.KeyID]bool
}

// request is a change that must be applied at most once, however often it is sent.
type request struct {
	id       string
	apply    *rpc.ApplyRequest
	revoke   *rpc.RevokeKeyRequest
	issue    *rpc.IssueKeyRequest
	accepted uint64
	// unknown reports that a response said that the outcome is unknown.
	unknown bool
	// emergencyEntered reports a success without a new revision: an emergency
	// revocation, which is written later, or a key that was already revoked.
	emergencyEntered bool
}

// fleet is several daemons with one platform, and the requests sent to them.
type fleet struct {
	memory   *platform.Memory
	daemons  []*daemon
	requests []*request
	keys     []catalogue.KeyID
	deltas   []catalogsync.Delta
	disabled disabledMechanisms
}

// operatorContext carries the only operator of the test.
var operatorContext = context.WithValue(context.Background(), operatorKey{}, Operator{Name: "op", Groups: []string{"ops"}})

// newDaemon returns a daemon with empty state.
func (f *fleet) newDaemon() *daemon {
	d := &daemon{
		table:     &faultyTable{Table: f.memory.Table(), disabled: f.disabled},
		emergency: &revocation.Set{}, revoked: map[catalogue.KeyID]bool{},
	}
	store := cataloguestore.New(d.table, f.memory.Objects())
	d.sync = catalogsync.New(store, catalogsync.Config{Clock: &clock.Fake{}, Logger: zerolog.Nop()})
	d.editor = NewEditor(store, d.sync, func() time.Time { return time.Unix(0, 0) })
	d.editor.maxRetryDelay = time.Nanosecond
	d.service = NewService(d.editor, audit.New(store), d.emergency, rand.Reader)
	return d
}

// drawDaemon draws one daemon.
func (f *fleet) drawDaemon(t *rapid.T) *daemon {
	return rapid.SampledFrom(f.daemons).Draw(t, "daemon")
}

// newRequest draws a change with a new change id.
func (f *fleet) newRequest(t *rapid.T) *request {
	r := &request{id: fmt.Sprintf("c%d", len(f.requests))}
	kind := rapid.SampledFrom([]string{"edit", "edit", "issue", "revoke"}).Draw(t, "kind")
	switch {
	case kind == "revoke" && len(f.keys) > 0:
		key := rapid.SampledFrom(f.keys).Draw(t, "key")
		r.revoke = &rpc.RevokeKeyRequest{
			ChangeId: r.id, KeyId: string(key), Emergency: rapid.Bool().Draw(t, "emergency"),
		}
	case kind == "issue":
		r.issue = &rpc.IssueKeyRequest{ChangeId: r.id, Customer: "c0"}
	default:
		r.apply = &rpc.ApplyRequest{ChangeId: r.id, Edits: f.drawEdits(t)}
	}
	f.requests = append(f.requests, r)
	return r
}

// drawEdits draws edits based on some daemon's copy, which may be out of date.
func (f *fleet) drawEdits(t *rapid.T) []*rpc.EntryEdit {
	view := f.drawDaemon(t).sync.Snapshot()
	var edits []*rpc.EntryEdit
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 1, 2, rapid.ID).Draw(t, "customers") {
		ref := catalogue.Ref{Kind: catalogue.KindCustomer, ID: fmt.Sprintf("c%d", n)}
		edit := &rpc.EntryEdit{Kind: string(ref.Kind), Id: ref.ID}
		if current := view.Entry(ref); current != nil {
			edit.ExpectedRevision = uint64(current.Common().Revision)
		}
		edit.Entry = &rpccatalogue.Entry{
			Meta: &rpccatalogue.Meta{Owner: "ops", Class: "standard"},
			Kind: &rpccatalogue.Entry_Customer{Customer: &rpccatalogue.Customer{
				// The rate is unique to the request, so that no edit is without effect.
				Id: ref.ID, RatePerSecond: float64(len(f.requests) + 1), Burst: 1, Weight: 1,
			}},
		}
		edits = append(edits, edit)
	}
	return edits
}

// send sends a request to a daemon and records the outcome reported to the operator.
func (f *fleet) send(t *rapid.T, d *daemon, r *request) {
	revision, err := f.call(d, r)
	var twirpErr twirp.Error
	switch {
	case err == nil && revision != 0:
		if r.accepted != 0 && r.accepted != revision {
			t.Fatalf("%s: accepted at %d and at %d", r.id, r.accepted, revision)
		}
		r.accepted = revision
	case err == nil:
		// An emergency revocation, or the key was already revoked.
		r.emergencyEntered = true
	case errors.As(err, &twirpErr) && twirpErr.Code() == twirp.Unknown:
		r.unknown = true
	case errors.As(err, &twirpErr) && twirpErr.Code() != twirp.Internal:
		if r.accepted != 0 && twirpErr.Code() != twirp.Unavailable {
			t.Fatalf("%s: refused after it was accepted at %d: %v", r.id, r.accepted, err)
		}
	default:
		t.Fatalf("%s: %v", r.id, err)
	}
}

// call makes the API call of a request.
func (f *fleet) call(d *daemon, r *request) (uint64, error) {
	switch {
	case r.revoke != nil:
		response, err := d.service.RevokeKey(operatorContext, r.revoke)
		if response.GetUnchanged() {
			return 0, err
		}
		return response.GetRevision(), err
	case r.issue != nil:
		response, err := d.service.IssueKey(operatorContext, r.issue)
		if response.GetKeyId() != "" {
			f.keys = append(f.keys, catalogue.KeyID(response.GetKeyId()))
		}
		return response.GetRevision(), err
	default:
		response, err := d.service.Apply(operatorContext, r.apply)
		return response.GetRevision(), err
	}
}

// checkMonotonic checks that no daemon goes back to an earlier revision or
// accepts a revoked key again.
func (f *fleet) checkMonotonic(t *rapid.T) {
	for i, d := range f.daemons {
		snapshot := d.sync.Snapshot()
		if snapshot.Revision() < d.revision {
			t.Fatalf("daemon %d went from revision %d to %d", i, d.revision, snapshot.Revision())
		}
		d.revision = snapshot.Revision()
		for _, key := range f.keys {
			entry := snapshot.Key(key)
			isRevoked := entry != nil && entry.Revoked || d.emergency.Contains(key)
			if d.revoked[key] && !isRevoked {
				t.Fatalf("daemon %d: key %s became valid again", i, key)
			}
			d.revoked[key] = isRevoked
		}
	}
}
