package ejection_test

import (
	"encoding/binary"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// failAttempts reports failed attempts to a gate's detector although its target is healthy.
func (s *permitSystem) failAttempts(g *gateNode) {
	for range 5 {
		s.attempts++
		var attempt id.AttemptID
		binary.BigEndian.PutUint64(attempt[:], s.attempts)
		now := s.gateClock(g)
		g.judge.Observe(ejection.Observation{Target: g.target, Attempt: attempt, Kind: ejection.Started, At: now})
		g.judge.Observe(ejection.Observation{Target: g.target, Attempt: attempt, Kind: ejection.TargetError, At: now, Source: s.attempts})
	}
}

// completeAttempts reports successful attempts to a gate's judge.
func (s *permitSystem) completeAttempts(g *gateNode) {
	for range 12 {
		s.attempts++
		var attempt id.AttemptID
		binary.BigEndian.PutUint64(attempt[:], s.attempts)
		now := s.gateClock(g)
		g.judge.Observe(ejection.Observation{Target: g.target, Attempt: attempt, Kind: ejection.Started, At: now})
		g.judge.Observe(ejection.Observation{Target: g.target, Attempt: attempt, Kind: ejection.Succeeded, At: now, Latency: time.Millisecond})
	}
}
