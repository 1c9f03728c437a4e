package experiment

import (
	"context"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// watchPeriod is the time between two looks at the targets' states.
const watchPeriod = 20 * time.Millisecond

// watcher notes when targets are suspected and ejected.
type watcher struct {
	fleet *Fleet
	start time.Time

	mu sync.Mutex
	// faults holds the time and mode of the last fault of a target; a healthy one has none.
	faults     map[string]*Detection
	faultAt    map[string]time.Duration
	detections []*Detection
	ejected    map[string]bool
	falsely    []FalseEjection
}

// newWatcher returns a watcher without faults.
func newWatcher(fleet *Fleet, start time.Time) *watcher {
	return &watcher{
		fleet:   fleet,
		start:   start,
		faults:  make(map[string]*Detection),
		faultAt: make(map[string]time.Duration),
		ejected: make(map[string]bool),
	}
}

// fault notes that a target's mode changes now.
func (w *watcher) fault(target, mode string, healthy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if healthy {
		delete(w.faults, target)
		return
	}
	detection := &Detection{Target: target, Mode: mode, SuspectedAfter: never, EjectedAfter: never}
	w.faults[target] = detection
	w.faultAt[target] = time.Since(w.start)
	w.detections = append(w.detections, detection)
}

// run watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.look()
		}
	}
}

// look compares the published states with the faults.
func (w *watcher) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Since(w.start)
	for _, node := range w.fleet.Nodes {
		for _, target := range node.Daemon.PublishedTargets() {
			w.note(target, now)
		}
	}
}

// note takes over one target's published state.
func (w *watcher) note(target membership.Target, now time.Duration) {
	isEjected := target.State == membership.TargetEjected
	wasEjected := w.ejected[target.Name]
	w.ejected[target.Name] = isEjected
	detection := w.faults[target.Name]
	if detection == nil {
		if isEjected && !wasEjected && !w.hadFault(target.Name) {
			w.falsely = append(w.falsely, FalseEjection{Target: target.Name, At: now})
		}
		return
	}
	since := now - w.faultAt[target.Name]
	if (target.Suspected || isEjected) && detection.SuspectedAfter == never {
		detection.SuspectedAfter = since
	}
	if isEjected && detection.EjectedAfter == never {
		detection.EjectedAfter = since
	}
}

// hadFault reports whether the target was faulty or crashed at some time; it may
// still be ejected for that.
func (w *watcher) hadFault(name string) bool {
	if _, had := w.faultAt[name]; had {
		return true
	}
	for _, t := range w.fleet.Targets {
		if t.Name() == name {
			return t.Crashes() > 0
		}
	}
	return false
}

// results returns the detections and the false ejections.
func (w *watcher) results() ([]Detection, []FalseEjection) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Detection, 0, len(w.detections))
	for _, detection := range w.detections {
		out = append(out, *detection)
	}
	return out, w.falsely
}
