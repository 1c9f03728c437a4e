package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is heartbeat_ms of the deployment.
	heartbeatInterval = 1500 * time.Millisecond
	// ackTimeout is how long a target waits for an acknowledgement.
	ackTimeout = time.Second
	// workTime is how long a run takes.
	workTime = 20 * time.Millisecond
	// targetSlots is the number of requests that a target works on at a time.
	targetSlots = 10
)

// runRecord is one run of a request at a target.
type runRecord struct {
	id, uri, tenant, target string
	at                      time.Time
}

// target is an application server beside a daemon.
type target struct {
	service, addr, control string
	record                 *record
	// answer serves the connections instead of the target itself, if it is set.
	answer func(net.Listener)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	// beating is false once the target sends no further heartbeats.
	beating bool
	server  *http.Server
	runs    []runRecord
}

// start listens and begins an incarnation that says that it was born at the given time.
func (t *target) start(id string, born time.Time) error {
	listener, err := net.Listen("tcp", t.addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.id, t.born, t.sequence, t.state, t.beating = id, born.UnixMilli(), 0, "ready", true
	t.server = &http.Server{Handler: t}
	serve := func(l net.Listener) { _ = t.server.Serve(l) }
	if t.answer != nil {
		serve = t.answer
	}
	go serve(listener)
	t.record.note("target %s of %s starts, born %d", id, t.service, t.born)
	return nil
}

// stop ends the process of the target.
func (t *target) stop() {
	t.mu.Lock()
	server := t.server
	t.beating = false
	t.mu.Unlock()
	_ = server.Close()
	t.record.note("target %s of %s has ended", t.id, t.service)
}

// beat sends heartbeats until ctx ends.
func (t *target) beat(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		beating := t.beating
		t.mu.Unlock()
		if beating {
			t.heartbeat(ctx)
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (t *target) heartbeat(ctx context.Context) bool {
	t.mu.Lock()
	t.sequence++
	id, state := t.id, t.state
	body := map[string]any{
		"service": t.service, "address": t.addr, "zone": "trelew", "version": "v1", "slots": targetSlots, "state": state,
		"warmup_left_ms": 0, "sequence": t.sequence, "born": t.born,
	}
	t.mu.Unlock()
	return t.post(ctx, "/api/Instances.Heartbeat/"+id, body)
}

// setState changes the state that the heartbeats report.
func (t *target) setState(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// deregister sends no further heartbeats and deregisters the target, which goes on serving. It returns when the
// deregistration was acknowledged.
func (t *target) deregister(ctx context.Context) (time.Time, error) {
	t.mu.Lock()
	t.beating = false
	id, born := t.id, t.born
	t.mu.Unlock()
	sent := time.Now()
	if !t.post(ctx, "/api/Instances.Deregister/"+id, map[string]any{"born": born}) {
		return time.Time{}, fmt.Errorf("the deregistration of %s was not acknowledged", id)
	}
	t.record.note("target %s deregistered, acknowledged after %v", id, time.Since(sent).Round(time.Millisecond))
	return time.Now(), nil
}

// post sends a message to the daemon and reports whether it was acknowledged in time.
func (t *target) post(ctx context.Context, path string, body map[string]any) bool {
	raw, err := json.Marshal(body)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.control+path, bytes.NewReader(raw))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler. It runs a request unless it is meant for another target.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	t.mu.Lock()
	id := t.id
	if named := r.Header.Get("Target-Instance"); named != "" && named != id {
		t.mu.Unlock()
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Unlock()
	t.noteRun(r)
	time.Sleep(workTime)
	w.Header().Set("Response-Seal", "seal-"+attempt)
	_, _ = io.WriteString(w, "ran "+attempt)
}

// allRuns returns the runs so far.
func (t *target) allRuns() []runRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]runRecord(nil), t.runs...)
}

// noteRun records that the target begins to run a request.
func (t *target) noteRun(r *http.Request) {
	t.mu.Lock()
	run := runRecord{id: r.Header.Get("Attempt-Id"), uri: r.RequestURI, tenant: r.Header.Get("Tenant"), target: t.id, at: time.Now()}
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	t.record.note("target %s runs request %s %s of tenant %q from %q", run.target, run.id, run.uri, run.tenant, r.Header.Get("Caller-Service"))
}
