package handover

import (
	"context"
	"io"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
)

// Config holds the dependencies of a Server.
type Config struct {
	Holder LedgerStore
	Duties Duties
	Sender *Sender
	Clock  clock.Clock
	Random io.Reader
	// Background runs each return; nil starts a goroutine for it.
	Background func(func())
}

// Server receives handovers and starts those that a slot's next incarnation requests with Return.
// It implements the twirp service and is safe for concurrent use.
type Server struct {
	holder LedgerStore
	duties Duties
	sender *Sender
	clock  clock.Clock
	nonce  processNonce

	mu          sync.Mutex
	lastSession uint64
	open        map[uint64]*incoming
	// complete has every session that this process completed. None is ever removed, because a
	// sender that was paused may query any of them later.
	complete map[uint64]struct{}
	// returning has the ledgers that are being handed over to their slot's next incarnation; unsure
	// has those of which it is unknown whether the incarnation took them.
	returning  map[ledger.Location]struct{}
	unsure     map[ledger.Location]*Transfer
	background func(func())
	returns    sync.WaitGroup
}

var _ handoverpb.Handover = (*Server)(nil)

// NewServer returns a server. It fails only when Random does.
func NewServer(c Config) (*Server, error) {
	s := &Server{
		holder: c.Holder, duties: c.Duties, sender: c.Sender, clock: c.Clock,
		open: map[uint64]*incoming{}, complete: map[uint64]struct{}{},
		returning: map[ledger.Location]struct{}{}, unsure: map[ledger.Location]*Transfer{},
	}
	s.background = c.Background
	if s.background == nil {
		s.background = func(f func()) { go f() }
	}
	if _, err := io.ReadFull(c.Random, s.nonce[:]); err != nil {
		return nil, err
	}
	return s, nil
}

// Offer implements the service: it opens a session for a ledger.
func (s *Server) Offer(_ context.Context, m *handoverpb.OfferRequest) (*handoverpb.OfferResponse, error) {
	manifest := ledger.Manifest{
		At:     ledger.Location{Host: id.HostID(m.Slot), Epoch: id.Epoch(m.Epoch)},
		Window: time.Duration(m.WindowNs), Claims: int(m.Claims),
	}
	if len(m.Secret) != len(manifest.Secret) {
		return &handoverpb.OfferResponse{Reason: "secret has a wrong length"}, nil
	}
	copy(manifest.Secret[:], m.Secret)
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropSessions(manifest.At, now)
	if len(s.open) >= s.sender.Settings.MaxSessions {
		return &handoverpb.OfferResponse{Reason: "too many sessions"}, nil
	}
	records, err := s.holder.NewCopy(manifest)
	if err != nil {
		return &handoverpb.OfferResponse{Reason: err.Error()}, nil
	}
	s.lastSession++
	s.open[s.lastSession] = &incoming{copy: records, at: manifest.At, deadline: now.Add(2 * s.sender.Settings.HandoverTimeout)}
	return &handoverpb.OfferResponse{Accepted: true, Session: sessionID(s.nonce, s.lastSession)}, nil
}

// dropSessions aborts the sessions that are past their deadline and those that a new offer of the same
// ledger replaces.
func (s *Server) dropSessions(at ledger.Location, now clock.Time) {
	for n, in := range s.open {
		if in.at == at || !now.Before(in.deadline) {
			delete(s.open, n)
		}
	}
}

// Send implements the service: it receives a chunk of a session.
func (s *Server) Send(_ context.Context, m *handoverpb.SendRequest) (*handoverpb.SendResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number, ok := sessionNumber(s.nonce, m.Session)
	in := s.open[number]
	if !ok || in == nil {
		return &handoverpb.SendResponse{Reason: "session is not open"}, nil
	}
	if err := in.add(m); err != nil {
		delete(s.open, number)
		return &handoverpb.SendResponse{Reason: err.Error()}, nil
	}
	return &handoverpb.SendResponse{Accepted: true}, nil
}

// Complete implements the service: it activates the received ledger and its duties. Repeating it
// for a completed session succeeds.
func (s *Server) Complete(_ context.Context, m *handoverpb.CompleteRequest) (*handoverpb.CompleteResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number, ok := sessionNumber(s.nonce, m.Session)
	if _, done := s.complete[number]; ok && done {
		return &handoverpb.CompleteResponse{Accepted: true}, nil
	}
	in := s.open[number]
	if !ok || in == nil {
		return &handoverpb.CompleteResponse{Reason: "session is not open"}, nil
	}
	delete(s.open, number)
	if err := in.check(m); err != nil {
		return &handoverpb.CompleteResponse{Reason: err.Error()}, nil
	}
	end := ledger.Completion{LedgerTime: clock.Time(m.LedgerTimeNs), NextSerial: m.NextSerial}
	if err := s.holder.Adopt(in.copy, end); err != nil {
		return &handoverpb.CompleteResponse{Reason: err.Error()}, nil
	}
	s.complete[number] = struct{}{}
	if st := m.Standing; st != nil {
		s.duties.Accept(ownership.Standing{
			Slot: in.at.Host, Epoch: in.at.Epoch,
			EpochSettled: st.EpochSettled, SettledRoster: catalogue.Revision(st.SettledRoster),
		}, in.states)
	}
	return &handoverpb.CompleteResponse{Accepted: true}, nil
}

// Abort implements the service: it ends a session, unless it is complete, and reports its state.
func (s *Server) Abort(_ context.Context, m *handoverpb.AbortRequest) (*handoverpb.AbortResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number, ok := sessionNumber(s.nonce, m.Session)
	if !ok {
		return &handoverpb.AbortResponse{State: handoverpb.SessionState_SESSION_UNSURE}, nil
	}
	if _, done := s.complete[number]; done {
		return &handoverpb.AbortResponse{State: handoverpb.SessionState_SESSION_COMPLETE}, nil
	}
	delete(s.open, number)
	return &handoverpb.AbortResponse{State: handoverpb.SessionState_SESSION_ABORTED}, nil
}
