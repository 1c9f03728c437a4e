package slots

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// overdueWeight is the score of one overdue attempt.
	overdueWeight = 1.0
	// failureWeight is the score of one failed attempt. Healthy targets fail about 1 in 100, so one failure alone must not
	// reach the threshold.
	failureWeight = 0.7
	// suspectThreshold is the score from which a target is suspected: two overdue attempts or three failures.
	suspectThreshold = 1.6
	// clearThreshold is the score below which a suspicion ends. The gap to suspectThreshold is the hysteresis.
	clearThreshold = 0.7
	// maxScore bounds the score, so that a target that recovers is used again within a few seconds.
	maxScore = 3.0
	// successFactor is applied to the score by each success.
	successFactor = 0.6
	// scoreHalfLife is the half-life of the score in the absence of outcomes.
	scoreHalfLife = 2 * time.Second
	// trialInterval is the least time between two trials of a suspected target.
	trialInterval = 400 * time.Millisecond
)

// suspicion is a decaying failure score of the target.
type suspicion struct {
	score     float64
	at        clock.Time
	suspected bool
	nextTrial clock.Time
}

// decay lets the score decay up to now, and ends the suspicion below clearThreshold.
func (s *suspicion) decay(now clock.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		s.score *= math.Exp2(-elapsed.Seconds() / scoreHalfLife.Seconds())
	}
	s.at = now
	if s.suspected && s.score < clearThreshold {
		s.suspected = false
	}
}

// recordFailure adds to the score.
func (s *suspicion) recordFailure(now clock.Time, weight float64) {
	s.decay(now)
	s.score = min(s.score+weight, maxScore)
	if !s.suspected && s.score >= suspectThreshold {
		s.suspected = true
		s.nextTrial = now.Add(trialInterval)
	}
}

// recordSuccess reduces the score.
func (s *suspicion) recordSuccess(now clock.Time) {
	s.decay(now)
	s.score *= successFactor
	s.decay(now)
}

// allows reports whether the suspicion lets an attempt pass.
func (s *suspicion) allows(now clock.Time, d Demand) bool {
	s.decay(now)
	if !s.suspected || d.Forced {
		return true
	}
	return d.Idempotent && !now.Before(s.nextTrial)
}

// tried records that an attempt that was not forced is admitted, which at a suspected target is a trial and delays the
// next one.
func (s *suspicion) tried(now clock.Time) {
	s.nextTrial = now.Add(trialInterval)
}
