package healthsim

import (
	"slices"
	"time"
)

// Result is what one run showed, from the beginning of the fault.
type Result struct {
	// Suspected and Ejected are the times from the fault to the first decision against the faulty
	// target; negative when there was none.
	Suspected time.Duration
	Ejected   time.Duration
	// OutTime is the time for which the faulty target was out of service.
	OutTime time.Duration
	// VictimEjections counts the ejections of the faulty target, FalseEjections those of others.
	VictimEjections int
	FalseEjections  int
	// FalselyOut is the time for which healthy targets were out of service, in all.
	FalselyOut time.Duration
	Requests   int
	Failed     int
	// ConnectFailures counts the attempts that could not reach a gate.
	ConnectFailures int
	// P99 is the 99th percentile of the time that requests to the first service took.
	P99       time.Duration
	latencies []time.Duration
}

// finish computes the result at the end of a run.
func (w *world) finish() {
	for _, h := range w.hosts {
		if !h.victim {
			w.result.FalseEjections += h.ejections
			w.result.FalselyOut += h.outTime
			continue
		}
		w.result.VictimEjections = h.ejections
		w.result.OutTime = h.outTime
		if h.suspectedAt >= 0 {
			w.result.Suspected = h.suspectedAt - warmUp
		}
		if h.ejectedAt >= 0 {
			w.result.Ejected = h.ejectedAt - warmUp
		}
	}
	slices.Sort(w.result.latencies)
	if n := len(w.result.latencies); n > 0 {
		w.result.P99 = w.result.latencies[n*99/100]
	}
	w.result.latencies = nil
}
