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
	// reported is the value of spent in the last report to the home.
	reported  int
	expiry    clock.Time
	lastSpend clock.Time
	// reportWithin is how soon the home requires reports of spends; zero means that
	// it needs no early report.
	reportWithin time.Duration
	// reportDue is when an early report is due; zero when none is.
	reportDue clock.Time
}

// closesAt returns when the entry stops spending the grant: closeMargin before its
// expiry.
func (g *grant) closesAt() clock.Time {
	return g.expiry.Add(-closeMargin)
}

// remaining returns the number of tokens that may still be spent at now.
func (g *grant) remaining(now clock.Time) int {
	if !now.Before(g.closesAt()) {
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

// report returns the report to the home and marks the spends as reported.
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
	return g.remaining(now) == 0
}

// dueAt returns when the grant has to be reported or closed next.
func (g *grant) dueAt() clock.Time {
	if g.reportDue > 0 {
		return min(g.reportDue, g.closesAt())
	}
	return g.closesAt()
}
