package platform

import (
	"context"
	"errors"

	"github.com/twitchtv/twirp"

	rpc "buckthornlatch.example/buckthornlatch/rpc/platform"
)

// maxReadLimit is the largest limit of a Scan or Changes call; larger limits are reduced to it.
const maxReadLimit = 10000

// Server exposes a table and an object store as the twirp service Platform.
type Server struct {
	table   Table
	objects ObjectStore
}

// NewServer returns a Server for the table and object store.
func NewServer(table Table, objects ObjectStore) *Server {
	return &Server{table: table, objects: objects}
}

// Commit implements rpc.Platform.
func (s *Server) Commit(ctx context.Context, request *rpc.CommitRequest) (*rpc.CommitResponse, error) {
	revision, err := s.table.Commit(ctx, fromRPCCommit(request))
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return &rpc.CommitResponse{Conflict: toRPCRows(conflict.Rows)}, nil
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	return &rpc.CommitResponse{Revision: uint64(revision)}, nil
}

// Get implements rpc.Platform.
func (s *Server) Get(ctx context.Context, request *rpc.GetRequest) (*rpc.RowsResponse, error) {
	rows, err := s.table.Get(ctx, request.GetKeys())
	if err != nil {
		return nil, toTwirp(err)
	}
	return toRPCResult(rows), nil
}

// Scan implements rpc.Platform.
func (s *Server) Scan(ctx context.Context, request *rpc.ScanRequest) (*rpc.RowsResponse, error) {
	rows, err := s.table.Scan(ctx, request.GetPrefix(), request.GetAfter(), clampLimit(request.GetLimit()))
	if err != nil {
		return nil, toTwirp(err)
	}
	return toRPCResult(rows), nil
}

// Changes implements rpc.Platform.
func (s *Server) Changes(ctx context.Context, request *rpc.ChangesRequest) (*rpc.RowsResponse, error) {
	limit := clampLimit(request.GetLimit())
	rows, err := s.table.Changes(ctx, request.GetPrefix(), Revision(request.GetSince()), limit)
	if err != nil {
		return nil, toTwirp(err)
	}
	return toRPCResult(rows), nil
}

// PutObject implements rpc.Platform.
func (s *Server) PutObject(ctx context.Context, request *rpc.PutObjectRequest) (*rpc.PutObjectResponse, error) {
	if err := s.objects.Put(ctx, request.GetName(), request.GetData()); err != nil {
		return nil, toTwirp(err)
	}
	return &rpc.PutObjectResponse{}, nil
}

// GetObject implements rpc.Platform.
func (s *Server) GetObject(ctx context.Context, request *rpc.GetObjectRequest) (*rpc.GetObjectResponse, error) {
	data, err := s.objects.Get(ctx, request.GetName())
	if errors.Is(err, ErrNoObject) {
		return &rpc.GetObjectResponse{}, nil
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	return &rpc.GetObjectResponse{Found: true, Data: data}, nil
}

// clampLimit reduces the limit to maxReadLimit if it is larger.
func clampLimit(limit uint32) int {
	return int(min(limit, maxReadLimit))
}

// toTwirp maps a *NotDoneError to Unavailable, which tells the client that the call had no effect, and any other error
// to Internal.
func toTwirp(err error) error {
	var notDone *NotDoneError
	if errors.As(err, &notDone) {
		return twirp.NewError(twirp.Unavailable, notDone.Err.Error())
	}
	return twirp.InternalErrorWith(err)
}
