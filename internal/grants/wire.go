package grants

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
	rpc "buckthornlatch.example/buckthornlatch/rpc/grants"
)

// maxTokens bounds token counts and, times a token, amounts decoded from the wire.
const maxTokens = 1 << 20

// requestToWire encodes a request.
func requestToWire(r ratelimit.Request) *rpc.Request {
	out := &rpc.Request{
		Id:        r.ID,
		Customer:  string(r.Customer),
		Need:      uint32(r.Need),
		Want:      uint32(r.Want),
		PartMicro: uint64(r.Part),
	}
	for _, report := range r.Reports {
		out.Reports = append(out.Reports, &rpc.Report{
			Epoch:    uint64(report.Grant.Epoch),
			Sequence: report.Grant.Sequence,
			Spent:    uint32(report.Spent),
			AgeUs:    uint64(max(report.Age.Microseconds(), 0)),
			Closed:   report.Closed,
		})
	}
	return out
}

// requestFromWire decodes a request.
func requestFromWire(r *rpc.Request) ratelimit.Request {
	out := ratelimit.Request{
		ID:       r.GetId(),
		Customer: id.CustomerID(r.GetCustomer()),
		Need:     tokensFromWire(r.GetNeed()),
		Want:     tokensFromWire(r.GetWant()),
		Part:     microFromWire(r.GetPartMicro()),
	}
	for _, report := range r.GetReports() {
		out.Reports = append(out.Reports, ratelimit.Report{
			Grant:  ratelimit.GrantID{Epoch: id.Epoch(report.GetEpoch()), Sequence: report.GetSequence()},
			Spent:  tokensFromWire(report.GetSpent()),
			Age:    durationFromWire(report.GetAgeUs()),
			Closed: report.GetClosed(),
		})
	}
	return out
}

// replyToWire encodes a reply.
func replyToWire(r ratelimit.Reply) *rpc.Reply {
	return &rpc.Reply{
		Id:                r.ID,
		Status:            rpc.Status(r.Status),
		Epoch:             uint64(max(r.Grant.Epoch, r.ImmediateGrant.Epoch)),
		Sequence:          r.Grant.Sequence,
		Tokens:            uint32(r.Tokens),
		Immediate:         uint32(r.Immediate),
		ImmediateSequence: r.ImmediateGrant.Sequence,
		LevelMicro:        uint64(max(r.Level, 0)),
		PartMicro:         uint64(r.Part),
		RetryAfterUs:      durationToWire(r.RetryAfter),
		ReportWithinUs:    durationToWire(r.ReportWithin),
	}
}

// replyFromWire decodes a reply.
func replyFromWire(r *rpc.Reply) ratelimit.Reply {
	return ratelimit.Reply{
		ID:             r.GetId(),
		Status:         ratelimit.Status(r.GetStatus()),
		Grant:          ratelimit.GrantID{Epoch: id.Epoch(r.GetEpoch()), Sequence: r.GetSequence()},
		Tokens:         tokensFromWire(r.GetTokens()),
		Immediate:      tokensFromWire(r.GetImmediate()),
		ImmediateGrant: ratelimit.GrantID{Epoch: id.Epoch(r.GetEpoch()), Sequence: r.GetImmediateSequence()},
		Level:          microFromWire(r.GetLevelMicro()),
		Part:           microFromWire(r.GetPartMicro()),
		RetryAfter:     durationFromWire(r.GetRetryAfterUs()),
		ReportWithin:   durationFromWire(r.GetReportWithinUs()),
	}
}

// tokensFromWire decodes a number of tokens, at most maxTokens.
func tokensFromWire(n uint32) int {
	return int(min(n, maxTokens))
}

// microFromWire decodes an amount, at most maxTokens tokens.
func microFromWire(m uint64) ratelimit.MicroTokens {
	return ratelimit.MicroTokens(min(m, maxTokens*uint64(ratelimit.Token)))
}

// durationToWire encodes a duration in microseconds, rounded up; negative ones are zero.
func durationToWire(d time.Duration) uint64 {
	return uint64((max(d, 0) + time.Microsecond - 1) / time.Microsecond)
}

// durationFromWire decodes a duration in microseconds and bounds it against overflow.
func durationFromWire(us uint64) time.Duration {
	return time.Duration(min(us, math.MaxInt64/1000)) * time.Microsecond
}
