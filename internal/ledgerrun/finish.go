package ledgerrun

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	ledgerpb "buckthornlatch.example/buckthornlatch/rpc/ledger"
)

// Finish ends a claim that Begin returned. It does not wait for calls to other daemons.
func (r *Runner) Finish(_ context.Context, claim ledger.ClaimID, outcome ledger.Outcome) {
	if claim.OwnKey() {
		r.ownKeys.Finish(claim, outcome)
		return
	}
	f := finishCall{claim: claim, outcome: outcome}
	var receiver id.HostID
	if h := r.find(claim.At); h != nil {
		var result ledger.FinishResult
		if result, receiver = h.finish(claim, outcome); result != ledger.Moved {
			return
		}
	}
	r.sendFinish(receiver, f)
}

// sendFinish sends an outcome to the daemons that may hold the claim, in the background.
func (r *Runner) sendFinish(receiver id.HostID, f finishCall) {
	request := encodeFinish(f)
	for _, holder := range r.holders(f.claim.At, receiver) {
		r.callInBackground(func(ctx context.Context) error {
			return r.followFinish(ctx, holder, f, request)
		})
	}
}

// followFinish sends an outcome to a daemon. If the records were handed over, it follows them to the
// receiver, up to maxHolders calls in total.
func (r *Runner) followFinish(ctx context.Context, to id.HostID, f finishCall, request *ledgerpb.FinishRequest) error {
	for range maxHolders {
		if to == r.self {
			if h := r.find(f.claim.At); h != nil {
				h.finish(f.claim, f.outcome)
			}
			return nil
		}
		peer, err := r.dial(to)
		if err != nil {
			return err
		}
		answer, err := peer.Finish(ctx, request)
		if err != nil {
			return err
		}
		if ledger.FinishResult(answer.Result) != ledger.Moved || answer.Host == "" {
			return nil
		}
		to = id.HostID(answer.Host)
	}
	return nil
}

// encodeFinish returns the message for an outcome.
func encodeFinish(f finishCall) *ledgerpb.FinishRequest {
	return &ledgerpb.FinishRequest{
		Slot: string(f.claim.At.Host), Epoch: uint64(f.claim.At.Epoch), Key: f.claim.Key[:],
		Serial: f.claim.Serial, Result: uint32(f.outcome.Result), Proof: uint32(f.outcome.Proof),
		Response: encodeResponse(f.outcome.Response),
	}
}
