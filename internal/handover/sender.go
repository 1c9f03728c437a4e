package handover

import (
	"context"
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
)

// maxTries is the number of times that one call is made.
const maxTries = 3

// errUnresolved is the cause that is reported when an earlier unsure handover is still unsure.
var errUnresolved = errors.New("an earlier handover is not resolved")

// errRefused reports that the receiver refused a call; such a call is not retried.
var errRefused = errors.New("refused by the receiver")

// Sender hands units over.
type Sender struct {
	Self     id.HostID
	Dial     Dialer
	Settings Settings
}

// session is the sender's side of one session.
type session struct {
	sender *Sender
	unit   *Transfer
	to     id.HostID
	peer   handoverpb.Handover
	id     []byte
	chunks uint32
	sent   uint32
}

// HandOverToFirst hands a ledger over to the first of the candidates that takes it. It stops at an
// unsure result, because that candidate may be responsible.
func (s *Sender) HandOverToFirst(ctx context.Context, u *Transfer, candidates []id.HostID) (Result, id.HostID, error) {
	var errs []error
	for _, to := range candidates {
		result, err := s.HandOver(ctx, u, to)
		if result != NotTaken {
			return result, to, err
		}
		errs = append(errs, err)
	}
	return NotTaken, "", errors.Join(errs...)
}

// HandOver hands a ledger over to one daemon. The error names the step that failed and the peer; it
// is nil exactly for HandedOver. After Unsure it may be called again for the same transfer; it then
// first queries the earlier receiver, which may turn out to be responsible.
func (s *Sender) HandOver(ctx context.Context, u *Transfer, to id.HostID) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.HandoverTimeout)
	defer cancel()
	if u.unresolved != nil {
		if result, err := u.unresolved.conclude(ctx, errUnresolved); result != NotTaken {
			return result, err
		}
	}
	peer, err := s.Dial(to)
	if err != nil {
		return NotTaken, fault.New("reach the receiver of a handover", string(to), err)
	}
	x := &session{sender: s, unit: u, to: to, peer: peer}
	if err := x.offer(ctx); err != nil {
		return NotTaken, fault.New("offer a handover", string(to), err)
	}
	if err := x.send(ctx); err != nil {
		// Frees the receiver's memory early. If this fails, a later offer removes the session after
		// its deadline.
		_, _ = x.abort(ctx)
		return NotTaken, fault.New("send handover records", string(to), err)
	}
	return x.complete(ctx)
}

// offer opens the session.
func (x *session) offer(ctx context.Context) error {
	m := x.unit.manifest
	return x.retry(ctx, func(ctx context.Context) error {
		r, err := x.peer.Offer(ctx, &handoverpb.OfferRequest{
			Slot: string(m.At.Host), Epoch: uint64(m.At.Epoch), Sender: string(x.sender.Self),
			Secret: m.Secret[:], WindowNs: int64(m.Window), Claims: uint32(m.Claims),
		})
		if err != nil {
			return err
		}
		x.id = r.Session
		return refusal(r.Accepted, r.Reason)
	})
}

// send sends the duty states with the first chunk, and all records.
func (x *session) send(ctx context.Context) error {
	var first []*handoverpb.DutyState
	for _, d := range x.unit.states {
		first = append(first, &handoverpb.DutyState{Part: d.Part, Data: d.Data})
	}
	var cursor ledger.Cursor
	for done := false; !done; {
		var records []ledger.Record
		var err error
		records, cursor, done, err = x.unit.records.Export(x.unit.seal, cursor, x.sender.Settings.ChunkBytes)
		if err != nil {
			return err
		}
		chunk := &handoverpb.SendRequest{Session: x.id, Chunk: x.chunks, Duties: first}
		for _, r := range records {
			chunk.Records = append(chunk.Records, encodeRecord(r))
		}
		if err := x.sendChunk(ctx, chunk); err != nil {
			return err
		}
		first = nil
		x.chunks++
		x.sent += uint32(len(records))
	}
	return nil
}

// sendChunk sends one chunk.
func (x *session) sendChunk(ctx context.Context, chunk *handoverpb.SendRequest) error {
	return x.retry(ctx, func(ctx context.Context) error {
		r, err := x.peer.Send(ctx, chunk)
		if err != nil {
			return err
		}
		return refusal(r.Accepted, r.Reason)
	})
}

// complete commits the handover and makes the receiver responsible.
func (x *session) complete(ctx context.Context) (Result, error) {
	if err := x.unit.records.Commit(x.unit.seal); err != nil {
		_, _ = x.abort(ctx)
		return NotTaken, fault.New("complete a handover", string(x.to), err)
	}
	end := x.unit.records.Completion()
	request := &handoverpb.CompleteRequest{
		Session: x.id, Chunks: x.chunks, Records: x.sent,
		LedgerTimeNs: int64(end.LedgerTime), NextSerial: end.NextSerial,
	}
	if st := x.unit.standing; st != nil {
		request.Standing = &handoverpb.Standing{EpochSettled: st.EpochSettled, SettledRoster: uint64(st.SettledRoster)}
	}
	err := x.retry(ctx, func(ctx context.Context) error {
		r, err := x.peer.Complete(ctx, request)
		if err != nil {
			return err
		}
		return refusal(r.Accepted, r.Reason)
	})
	if err == nil {
		x.unit.records.HandOver(x.to)
		return HandedOver, nil
	}
	return x.conclude(ctx, err)
}

// conclude aborts a session whose Complete was not answered with success and derives the result from
// the state that the receiver reports.
func (x *session) conclude(ctx context.Context, cause error) (Result, error) {
	state, err := x.abort(ctx)
	x.unit.unresolved = nil
	switch {
	case err == nil && state == handoverpb.SessionState_SESSION_COMPLETE:
		x.unit.records.HandOver(x.to)
		return HandedOver, nil
	case err == nil && state == handoverpb.SessionState_SESSION_ABORTED:
		x.unit.records.Aborted()
		return NotTaken, fault.New("complete a handover", string(x.to), cause)
	}
	x.unit.unresolved = x
	return Unsure, fault.New("complete a handover", string(x.to), errors.Join(cause, err))
}

// abort ends the session unless it is complete.
func (x *session) abort(ctx context.Context) (state handoverpb.SessionState, err error) {
	err = x.retry(ctx, func(ctx context.Context) error {
		r, err := x.peer.Abort(ctx, &handoverpb.AbortRequest{Session: x.id})
		if err == nil {
			state = r.State
		}
		return err
	})
	return state, err
}

// retry makes a call up to maxTries times, until it succeeds or the receiver refuses it.
func (x *session) retry(ctx context.Context, call func(context.Context) error) error {
	var err error
	for range maxTries {
		bounded, cancel := context.WithTimeout(ctx, x.sender.Settings.CallTimeout)
		err = call(bounded)
		cancel()
		if err == nil || errors.Is(err, errRefused) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// refusal returns errRefused with the reason, unless the receiver accepted.
func refusal(accepted bool, reason string) error {
	if accepted {
		return nil
	}
	return errors.Join(errRefused, errors.New(reason))
}
