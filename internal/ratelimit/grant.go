package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// grant is a batch of tokens as its entry sees it.
type grant struct {
	home   id.HostID
	id     GrantID
	tokens int
	spent  int
	// reported is the spent number that the home was told last.
	reported  int
	expiry    clock.Time
	lastSpend clock.Time
	// reportWithin is the home's wish; zero means no early report.
	reportWithin time.Duration
	// reportDue is when unreported spends are to be reported; zero means not early.
	reportDue clock.Time
}

// closing returns when the entry stops spending the grant.
func (g *grant) closing() clock.Time {
	return g.expiry.Add(-closeMargin)
}

// left returns the tokens that may be spent at now.
func (g *grant) left(now clock.Time) int {
	if !now.Before(g.closing()) {
		return 0
	}
	return g.tokens - g.spent
}

// spend uses one token.
func (g *grant) spend(now clock.Time) {
	g.spent++
	g.lastSpend = now
	if g.reportWithin > 0 && g.reportDue == 0 {
		g.reportDue = now.Add(g.reportWithin)
	}
}

// report returns what the home is to be told, and notes that it was.
func (g *grant) report(now clock.Time) Report {
	g.reported = g.spent
	g.reportDue = 0
	return Report{
		Grant:  g.id,
		Spent:  g.spent,
		Age:    now.Sub(g.lastSpend),
		Closed: g.finished(now),
	}
}

// finished reports whether no token of the grant will be spent from now on.
func (g *grant) finished(now clock.Time) bool {
	return g.left(now) == 0
}

// due returns when the grant needs attention next.
func (g *grant) due() clock.Time {
	if g.reportDue > 0 {
		return min(g.reportDue, g.closing())
	}
	return g.closing()
}
