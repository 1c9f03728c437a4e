package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_ms of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// upstream is a stand-in for an application upstream beside a daemon.
type upstream struct {
	service, zone, address, controlPlane string
	slots                                int
	work                                 time.Duration
	record                               *record

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	beating  bool
	busy     int
	runs     []execution
	server   *http.Server
}

// execution is one run of a request.
type execution struct {
	request, upstream string
	at                time.Time
}

// start listens and begins to send heartbeats until ctx ends or the upstream leaves.
func (u *upstream) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.id, u.born, u.beating = "i-"+u.address, time.Now().UnixMilli(), true
	u.server = &http.Server{Handler: u}
	u.mu.Unlock()
	go func() { _ = u.server.Serve(listener) }()
	go u.beat(ctx)
	return nil
}

// stop ends the upstream.
func (u *upstream) stop() {
	u.mu.Lock()
	server := u.server
	u.beating = false
	u.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// beat sends heartbeats.
func (u *upstream) beat(ctx context.Context) {
	for ctx.Err() == nil {
		u.mu.Lock()
		beating := u.beating
		u.mu.Unlock()
		if !beating {
			return
		}
		u.send(ctx, u.nextHeartbeat())
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// message is a call to the control plane.
type message struct {
	path string
	body map[string]any
}

// nextHeartbeat returns the next heartbeat, which the upstream sends now or whose delivery is delayed on its way.
func (u *upstream) nextHeartbeat() message {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return message{"/api/Instances.Heartbeat/" + u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": "ready",
		"warmup_left_ms": 0, "sequence": u.sequence, "born": u.born,
	}}
}

// quiet ends the heartbeats and returns the one that the upstream sends last, for a delayed delivery.
func (u *upstream) quiet() message {
	u.mu.Lock()
	u.beating = false
	u.mu.Unlock()
	return u.nextHeartbeat()
}

// deregister announces that the upstream leaves, without having reported draining before, and reports whether that was acknowledged.
// As in the examples of the platform the call has no body. The upstream serves on until it is stopped.
func (u *upstream) deregister(ctx context.Context) bool {
	return u.send(ctx, message{path: "/api/Instances.Deregister/" + u.id})
}

// send delivers a message and reports whether it was acknowledged.
func (u *upstream) send(ctx context.Context, m message) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var body []byte
	if m.body != nil {
		var err error
		if body, err = json.Marshal(m.body); err != nil {
			return false
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.controlPlane+m.path, bytes.NewReader(body))
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

// ServeHTTP runs requests.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", request)
	u.mu.Lock()
	switch {
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != u.id:
		u.mu.Unlock()
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case u.busy >= u.slots:
		u.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.busy++
	u.runs = append(u.runs, execution{request: request, upstream: u.id, at: time.Now()})
	u.mu.Unlock()
	u.record.note("run      %s at %s (%s)", request, u.id, u.service)
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.busy--
	}()
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	sum := sha256.Sum256(body)
	answer := fmt.Sprintf("%s at %s got %d bytes", request, u.id, len(body))
	w.Header().Set("Response-Seal", hex.EncodeToString(sum[:8]))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// executions returns all runs.
func (u *upstream) executions() []execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]execution(nil), u.runs...)
}
