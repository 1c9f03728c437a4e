package daemon

import (
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/rpc/handover"
	ledgerpb "buckthornlatch.example/buckthornlatch/rpc/ledger"
)

// recordHolders finds the daemons that hold ticket records and returns clients for them.
type recordHolders struct {
	gossip *gossip.Service
	peers  *peerDirectory
	client *http.Client
}

// Holder implements ledgerrun.Directory. It returns the host whose membership record lists the
// epoch, and prefers an active holder to one that is handing over.
func (r *recordHolders) Holder(at ledger.Location) (id.HostID, bool) {
	var holder id.HostID
	found := false
	r.gossip.View(func(t *membership.Table) {
		for _, record := range t.Records() {
			held, ok := heldEpoch(record, at)
			if ok && (!found || held.Active) {
				holder, found = record.Host, true
			}
			if ok && held.Active {
				return
			}
		}
	})
	return holder, found
}

// heldEpoch returns the element of record.Held for an epoch.
func heldEpoch(record *membership.Record, at ledger.Location) (membership.HeldEpoch, bool) {
	for _, held := range record.Held {
		if held.Host == at.Host && held.Epoch == at.Epoch {
			return held, true
		}
	}
	return membership.HeldEpoch{}, false
}

// tickets returns a client for a daemon's ledgers.
func (r *recordHolders) tickets(host id.HostID) (ledgerpb.Tickets, error) {
	url, ok := r.peers.BaseURL(host)
	if !ok {
		return nil, fault.New("find address", string(host), errUnknownHost)
	}
	return ledgerpb.NewTicketsProtobufClient(url, r.client), nil
}

// handover returns a client for handovers to and from a daemon.
func (r *recordHolders) handover(host id.HostID) (handover.Handover, error) {
	url, ok := r.peers.BaseURL(host)
	if !ok {
		return nil, fault.New("find address", string(host), errUnknownHost)
	}
	return handover.NewHandoverProtobufClient(url, r.client), nil
}
