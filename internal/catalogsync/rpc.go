package catalogsync

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// Server serves a Replica's changes to peers. It implements rpc.Sync.
type Server struct {
	replica *Replica
	// snapshots limits the rate of whole snapshots: one is 6 MB at full size,
	// and a refused peer tries another daemon at its next exchange.
	snapshots *rate.Limiter
}

// minSnapshotInterval is the least time between two whole snapshots that one daemon serves.
const minSnapshotInterval = 5 * time.Second

// NewServer returns a Server for the replica.
func NewServer(replica *Replica) *Server {
	return &Server{replica: replica, snapshots: rate.NewLimiter(rate.Every(minSnapshotInterval), 1)}
}

// Fetch implements rpc.Sync. A daemon that needs a whole snapshot is refused
// with the code resource_exhausted if another one was served recently.
func (s *Server) Fetch(_ context.Context, request *rpc.FetchRequest) (*rpc.Delta, error) {
	_, _, hasChanges := s.replica.since(catalogue.Revision(request.GetSince()))
	if !hasChanges && !s.snapshots.Allow() {
		return nil, twirp.NewError(twirp.ResourceExhausted, "another snapshot was served lately")
	}
	delta, err := s.replica.DeltaSince(catalogue.Revision(request.GetSince()))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rpc.Delta{Changes: delta.Changes, Snapshot: delta.Snapshot, Through: uint64(delta.Through)}, nil
}

// Pull fetches the changes, or the snapshot, that the replica is missing from
// the peer at the base URL and applies them.
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
