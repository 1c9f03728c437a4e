package slots

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// overdueWeight is the evidence of one overdue attempt.
	overdueWeight = 1.0
	// failureWeight is the evidence of one failed attempt. Sound targets fail about 1 in 100, so one failure alone
	// must not reach the threshold.
	failureWeight = 0.7
	// suspectAbove is the evidence from which a target is suspected: two overdue attempts or three failures.
	suspectAbove = 1.6
	// clearBelow is the evidence below which a suspicion ends. The gap is the hysteresis.
	clearBelow = 0.7
	// evidenceCap bounds the evidence, so that a target that recovers is back within a few seconds.
	evidenceCap = 3.0
	// successFactor is applied to the evidence by each success.
	successFactor = 0.6
	// evidenceHalfLife is the time in which evidence fades without any work.
	evidenceHalfLife = 2 * time.Second
	// trialPeriod is the time between two trials of a suspected target.
	trialPeriod = 400 * time.Millisecond
)

// suspicion is the evidence against the target.
type suspicion struct {
	evidence  float64
	at        clock.Time
	suspected bool
	nextTrial clock.Time
}

// settle lets the evidence fade up to now.
func (s *suspicion) settle(now clock.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		s.evidence *= math.Exp2(-elapsed.Seconds() / evidenceHalfLife.Seconds())
	}
	s.at = now
	if s.suspected && s.evidence < clearBelow {
		s.suspected = false
	}
}

// blame adds evidence.
func (s *suspicion) blame(now clock.Time, weight float64) {
	s.settle(now)
	s.evidence = min(s.evidence+weight, evidenceCap)
	if !s.suspected && s.evidence >= suspectAbove {
		s.suspected = true
		s.nextTrial = now.Add(trialPeriod)
	}
}

// praise takes a success into account.
func (s *suspicion) praise(now clock.Time) {
	s.settle(now)
	s.evidence *= successFactor
	s.settle(now)
}

// permits reports whether an attempt may pass a suspected target's gate, and uses up a trial if it is one.
func (s *suspicion) permits(now clock.Time, d Demand) bool {
	s.settle(now)
	if !s.suspected || d.Forced {
		return true
	}
	if !d.Idempotent || now.Before(s.nextTrial) {
		return false
	}
	s.nextTrial = now.Add(trialPeriod)
	return true
}
