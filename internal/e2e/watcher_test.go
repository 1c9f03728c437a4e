package e2e_test

import (
	"fmt"
	"sync"
	"time"
)

// watchPeriod is the time between two readings of a daemon's revision.
const watchPeriod = 100 * time.Millisecond

// revisionWatcher reads the revision of every daemon for the whole suite. The
// revision of a host's ready daemon must never decrease, also across restarts.
type revisionWatcher struct {
	stop chan struct{}
	wait sync.WaitGroup

	mu         sync.Mutex
	highest    map[string]status
	violations []string
}

// watchRevisions starts a watcher.
func watchRevisions(hosts []*host) *revisionWatcher {
	w := &revisionWatcher{stop: make(chan struct{}), highest: make(map[string]status)}
	for _, h := range hosts {
		w.wait.Add(1)
		go w.watch(h)
	}
	return w
}

// watch reads one host's state until the watcher is closed.
func (w *revisionWatcher) watch(h *host) {
	defer w.wait.Done()
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		if s, err := h.status(); err == nil {
			w.note(h.name, s)
		}
	}
}

// note checks one reading. A daemon that has not yet become ready may still be
// behind its predecessor, but never behind itself.
func (w *revisionWatcher) note(name string, s status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.highest[name]
	if s.Revision < last.Revision && (s.Ready || s.Incarnation == last.Incarnation) {
		w.violations = append(w.violations, fmt.Sprintf("%s went from %+v to %+v", name, last, s))
	}
	if s.Revision >= last.Revision {
		w.highest[name] = s
	}
}

// found returns the violations so far.
func (w *revisionWatcher) found() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// close ends the watcher.
func (w *revisionWatcher) close() {
	close(w.stop)
	w.wait.Wait()
}
