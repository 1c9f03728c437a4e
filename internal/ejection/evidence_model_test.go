package ejection_test

import (
	"encoding/binary"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// blame gives a judge wrong evidence against its target.
func (s *permitSystem) blame(g *gateNode) {
	for range 5 {
		s.attempts++
		var attempt id.AttemptID
		binary.BigEndian.PutUint64(attempt[:], s.attempts)
		now := s.gateClock(g)
		g.judge.Observe(ejection.Observation{Target: g.target, Attempt: attempt, Kind: ejection.Started, At: now})
		g.judge.Observe(ejection.Observation{Target: g.target, Attempt: attempt, Kind: ejection.TargetError, At: now, Source: s.attempts})
	}
}

// praise gives a judge successful work.
func (s *permitSystem) praise(g *gateNode) {
	for range 12 {
		s.attempts++
		var attempt id.AttemptID
		binary.BigEndian.PutUint64(attempt[:], s.attempts)
		now := s.gateClock(g)
		g.judge.Observe(ejection.Observation{Target: g.target, Attempt: attempt, Kind: ejection.Started, At: now})
		g.judge.Observe(ejection.Observation{Target: g.target, Attempt: attempt, Kind: ejection.Succeeded, At: now, Latency: time.Millisecond})
	}
}
