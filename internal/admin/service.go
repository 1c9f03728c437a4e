package admin

import (
	"context"
	"errors"
	"fmt"
	"io"

	"buckthornlatch.example/buckthornlatch/internal/apikey"
	"buckthornlatch.example/buckthornlatch/internal/audit"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/revocation"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
	rpccatalogue "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// Service implements rpc.Admin. It is safe for concurrent use.
type Service struct {
	editor    *Editor
	log       *audit.Log
	emergency *revocation.Set
	random    io.Reader
}

// NewService returns the API over an editor, the audit trail and the daemon's
// emergency revocations. random is usually crypto/rand.Reader.
func NewService(editor *Editor, log *audit.Log, emergency *revocation.Set, random io.Reader) *Service {
	return &Service{editor: editor, log: log, emergency: emergency, random: random}
}

// Apply implements rpc.Admin.
func (s *Service) Apply(ctx context.Context, request *rpc.ApplyRequest) (*rpc.ApplyResponse, error) {
	operator, err := operatorOf(ctx)
	if err != nil {
		return nil, err
	}
	d, err := draftOf(operator, request)
	if err != nil {
		return nil, toTwirp(err)
	}
	done, err := s.editor.commit(ctx, d)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &rpc.ApplyResponse{
		Revision: uint64(done.revision), Replayed: done.replayed,
		Edits: toRPCEdits(done.edits), Unchanged: len(done.edits) == 0,
	}, nil
}

// Outcome implements rpc.Admin.
func (s *Service) Outcome(ctx context.Context, request *rpc.OutcomeRequest) (*rpc.OutcomeResponse, error) {
	operator, err := operatorOf(ctx)
	if err != nil {
		return nil, err
	}
	state, err := s.editor.store.Read(ctx, operator.Name, catalogue.ChangeID(request.GetChangeId()), nil)
	if err != nil {
		return nil, toTwirp(&ReadFailedError{Err: err})
	}
	if state.Accepted == 0 {
		return &rpc.OutcomeResponse{}, nil
	}
	change, err := s.editor.store.Change(ctx, state.Accepted)
	if err == nil && change == nil {
		err = fmt.Errorf("change %d is missing", state.Accepted)
	}
	if err != nil {
		return nil, toTwirp(&ReadFailedError{Err: err})
	}
	return &rpc.OutcomeResponse{Revision: uint64(change.Revision), Edits: toRPCEdits(change.Edits)}, nil
}

// IssueKey implements rpc.Admin. The operator must be in the group that owns
// the customer; the key gets the same owner.
func (s *Service) IssueKey(ctx context.Context, request *rpc.IssueKeyRequest) (*rpc.IssueKeyResponse, error) {
	operator, err := operatorOf(ctx)
	if err != nil {
		return nil, err
	}
	issued, err := apikey.Issue(s.random)
	if err != nil {
		return nil, toTwirp(&UnavailableError{Err: err})
	}
	d, err := issueDraft(operator, request, issued)
	if err != nil {
		return nil, toTwirp(err)
	}
	done, err := s.editor.commit(ctx, d)
	if err != nil {
		return nil, toTwirp(err)
	}
	response := &rpc.IssueKeyResponse{Revision: uint64(done.revision), Replayed: done.replayed}
	for _, edit := range done.edits {
		response.KeyId = edit.Ref().ID
	}
	// If the response to this call's own commit was lost, commit found it by
	// reading it back: the key has not been returned yet.
	if response.KeyId == string(issued.ID) {
		response.Key, response.Replayed = issued.Secret, false
	}
	return response, nil
}

// RevokeKey implements rpc.Admin.
func (s *Service) RevokeKey(ctx context.Context, request *rpc.RevokeKeyRequest) (*rpc.RevokeKeyResponse, error) {
	operator, err := operatorOf(ctx)
	if err != nil {
		return nil, err
	}
	d, err := revokeDraft(operator, request)
	if err != nil {
		return nil, toTwirp(err)
	}
	done, err := s.editor.commit(ctx, d)
	if err == nil {
		return &rpc.RevokeKeyResponse{
			Revision: uint64(done.revision), Replayed: done.replayed, Unchanged: len(done.edits) == 0,
		}, nil
	}
	if !request.GetEmergency() || !isOutage(err) {
		return nil, toTwirp(err)
	}
	if err := s.revokeLocally(d, request, err); err != nil {
		return nil, toTwirp(err)
	}
	return &rpc.RevokeKeyResponse{Emergency: true}, nil
}

// revokeLocally records an emergency revocation, after an owner check against
// the daemon's copy of the catalogue. A copy without the key may be out of
// date, so the call then returns the outage error.
func (s *Service) revokeLocally(d *draft, request *rpc.RevokeKeyRequest, outage error) error {
	ref := d.edits[0].ref
	key := s.editor.source.Snapshot().Entry(ref)
	if key == nil {
		return outage
	}
	if err := authorize(d, catalogue.Edit{Before: key}); err != nil {
		return err
	}
	record := revocation.Record{
		Key: catalogue.KeyID(ref.ID), Operator: d.operator.Name, ChangeID: d.id, Why: request.GetWhy(),
	}
	if err := s.emergency.Add(record); err != nil {
		var unknown *OutcomeUnknownError
		if errors.As(outage, &unknown) {
			return &OutcomeUnknownError{Err: errors.Join(unknown.Err, err)}
		}
		return &UnavailableError{Err: err}
	}
	return nil
}

// toRPCEdits converts edits and removes key hashes.
func toRPCEdits(edits []catalogue.Edit) []*rpccatalogue.Edit {
	out := make([]*rpccatalogue.Edit, 0, len(edits))
	for _, e := range edits {
		out = append(out, &rpccatalogue.Edit{
			Before: codec.FromEntry(audit.WithoutHash(e.Before)),
			After:  codec.FromEntry(audit.WithoutHash(e.After)),
		})
	}
	return out
}
