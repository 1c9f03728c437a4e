package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// maxEmptyBackoff bounds the backoff from an empty home.
const maxEmptyBackoff = 2 * time.Second

// homeView is an entry's state for one home of a customer.
type homeView struct {
	host     id.HostID
	state    *hostState
	distance int
	// level is the level of the home's bucket at levelAt.
	level   MicroTokens
	levelAt clock.Time
	// inFlight is the ID of the request in flight; zero when there is none.
	inFlight uint64
	sentAt   clock.Time
	// inFlightNeed is the number of waiting callers that the request in flight is for.
	inFlightNeed int
	// tokenAt is when the home is expected to have a token. backoffUntil is when it
	// may next be sent a request for whole tokens; for an empty home it is at most
	// maxEmptyBackoff away, because the limit may be raised meanwhile.
	tokenAt      clock.Time
	backoffUntil clock.Time
	// nextPrefetchAt is the earliest time for the next prefetch.
	nextPrefetchAt clock.Time
	// failed says that the last call failed, so that backoffUntil does not stem from
	// an empty bucket.
	failed bool
	// immediateGrant is the last immediate grant, of which immediateSpent tokens were
	// spent at immediateSpentAt; immediateSpent is zero once that was reported.
	// Reporting it before the hold ends lets the bucket refill from the spend on.
	immediateGrant   GrantID
	immediateSpent   int
	immediateSpentAt clock.Time
}

// expectedLevel estimates the level of the home's bucket under the given share.
func (v *homeView) expectedLevel(now clock.Time, share Limit) MicroTokens {
	room := max(share.capacity()-v.level, 0)
	return v.level + earned(derated(share.Rate), now.Sub(v.levelAt), room)
}

// report returns the unreported spend of immediate tokens, if any. After the home's
// hold has ended, a report is of no use.
func (v *homeView) report(now clock.Time) []Report {
	if v.immediateSpent == 0 || now.Sub(v.immediateSpentAt) >= immediateHold {
		return nil
	}
	r := Report{Grant: v.immediateGrant, Spent: v.immediateSpent, Age: now.Sub(v.immediateSpentAt), Closed: true}
	v.immediateSpent = 0
	return []Report{r}
}

// ready reports whether the home can be sent a request for whole tokens.
func (v *homeView) ready(now clock.Time) bool {
	return v.inFlight == 0 && !now.Before(v.readyAt())
}

// markEmpty records that the home expects its next token after retry.
func (v *homeView) markEmpty(now clock.Time, retry time.Duration) {
	v.tokenAt = now.Add(retry)
	v.backoffUntil = now.Add(min(retry, maxEmptyBackoff))
}

// readyAt returns when the backoffs from the home and from its host are over.
func (v *homeView) readyAt() clock.Time {
	return max(v.backoffUntil, v.state.downUntil)
}

// unavailable reports whether the last call to the home failed or its host is down.
func (v *homeView) unavailable() bool {
	return v.failed || v.state.downUntil > 0
}
