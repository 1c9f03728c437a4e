package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// maxEmpty bounds how long a home is not asked because it was empty.
const maxEmpty = 2 * time.Second

// homeView is what an entry knows about one home of a customer.
type homeView struct {
	host     id.HostID
	state    *hostState
	distance int
	// level is what the home had at levelAt.
	level   Micro
	levelAt clock.Time
	// inFlight is the id of the unanswered request; zero when there is none.
	inFlight uint64
	sentAt   clock.Time
	// asked is the number of waiting callers that the unanswered request is for.
	asked int
	// tokenAt is when the home expects a token; emptyUntil is when asking for
	// waiting callers makes sense again. It is at most maxEmpty away, because the
	// limit may be raised meanwhile.
	tokenAt    clock.Time
	emptyUntil clock.Time
	// prefetchFrom is when asking in advance makes sense again.
	prefetchFrom clock.Time
	// failed says that emptyUntil follows from a failed call, not from an empty bucket.
	failed bool
	// spent is the last immediate grant and spentAt when it was spent, until the
	// home was told; reporting it early lets the bucket refill from then on.
	spent   GrantID
	tokens  int
	spentAt clock.Time
}

// expected estimates the home's level, given its share.
func (v *homeView) expected(now clock.Time, share Limit) Micro {
	room := max(share.capacity()-v.level, 0)
	return v.level + earned(derated(share.Rate), now.Sub(v.levelAt), room)
}

// report returns what is left to tell the home about immediate tokens. Later
// than the home's hold there is nothing to tell.
func (v *homeView) report(now clock.Time) []Report {
	if v.tokens == 0 || now.Sub(v.spentAt) >= immediateHold {
		return nil
	}
	r := Report{Grant: v.spent, Spent: v.tokens, Age: now.Sub(v.spentAt), Closed: true}
	v.tokens = 0
	return []Report{r}
}

// ready reports whether the home can be asked for waiting callers.
func (v *homeView) ready(now clock.Time) bool {
	return v.inFlight == 0 && !now.Before(v.readyFrom())
}

// empty notes that the home expects its next token after the time.
func (v *homeView) empty(now clock.Time, retry time.Duration) {
	v.tokenAt = now.Add(retry)
	v.emptyUntil = now.Add(min(retry, maxEmpty))
}

// readyFrom returns when the home can be asked, unless a request is unanswered.
func (v *homeView) readyFrom() clock.Time {
	return max(v.emptyUntil, v.state.downUntil)
}

// out reports whether the home failed to answer lately.
func (v *homeView) out() bool {
	return v.failed || v.state.downUntil > 0
}
