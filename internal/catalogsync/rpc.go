package catalogsync

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// Server answers peers from a Replica. It implements rpc.Sync.
type Server struct {
	replica *Replica
}

// NewServer returns a Server over the replica.
func NewServer(replica *Replica) *Server {
	return &Server{replica: replica}
}

// Fetch implements rpc.Sync.
func (s *Server) Fetch(_ context.Context, request *rpc.FetchRequest) (*rpc.Delta, error) {
	delta, err := s.replica.DeltaSince(catalogue.Revision(request.GetSince()))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.Delta{Changes: delta.Changes, Snapshot: delta.Snapshot, Through: uint64(delta.Through)}, nil
}

// Pull fetches what the replica lacks from the peer at the base URL and applies it.
// Error: *fault.Error.
func (r *Replica) Pull(ctx context.Context, httpClient *http.Client, baseURL string) error {
	client := rpc.NewSyncProtobufClient(baseURL, httpClient)
	response, err := client.Fetch(ctx, &rpc.FetchRequest{Since: uint64(r.Snapshot().Revision())})
	if err != nil {
		return fault.New("fetch catalogue changes", baseURL, err)
	}
	delta := Delta{
		Changes:  response.GetChanges(),
		Snapshot: response.GetSnapshot(),
		Through:  catalogue.Revision(response.GetThrough()),
	}
	return fault.New("apply catalogue changes", baseURL, r.ApplyDelta(delta))
}
