package handover

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
)

// Return implements the service: it starts the handover of a ledger to its slot's next incarnation.
// The handover runs in the background; the caller may repeat the request when no records arrive. The
// transport must admit only a daemon with the slot's identity.
func (s *Server) Return(_ context.Context, m *handoverpb.ReturnRequest) (*handoverpb.ReturnResponse, error) {
	at := ledger.Location{Host: id.HostID(m.Slot), Epoch: id.Epoch(m.Epoch)}
	if at.Host == s.sender.Self || id.Epoch(m.NextEpoch) <= at.Epoch {
		return &handoverpb.ReturnResponse{}, nil
	}
	records, ok := s.holder.Find(at)
	if !ok {
		return &handoverpb.ReturnResponse{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, busy := s.returning[at]; !busy {
		s.returning[at] = struct{}{}
		s.returns.Add(1)
		s.background(func() {
			defer s.returns.Done()
			s.returnLedger(at, records)
		})
	}
	return &handoverpb.ReturnResponse{Started: true}, nil
}

// returnLedger hands a ledger over to its slot's next incarnation. When the incarnation certainly did
// not take it, the ledger runs tickets here again, but its duties stay stopped.
func (s *Server) returnLedger(at ledger.Location, records Ledger) {
	unit := s.takeUnsure(at)
	if unit == nil {
		unit = Prepare(records, s.duties)
	}
	result, _ := s.sender.HandOver(context.Background(), unit, at.Host)
	if result == NotTaken {
		unit.Reopen()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if result == Unsure {
		s.unsure[at] = unit
	}
	delete(s.returning, at)
}

// takeUnsure removes and returns the transfer of an earlier return whose result is unknown, or nil.
func (s *Server) takeUnsure(at ledger.Location) *Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	unit := s.unsure[at]
	delete(s.unsure, at)
	return unit
}

// Wait waits until no return is in progress, at most for Settings.HandoverTimeout after the last one began.
func (s *Server) Wait() {
	s.returns.Wait()
}
