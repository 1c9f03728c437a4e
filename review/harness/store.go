package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/platform/standin"
)

// storeMode is how the store treats one daemon, or one of its tables.
type storeMode int

const (
	// serving answers all calls.
	serving storeMode = iota
	// busy answers 503, which means that nothing was done.
	busy
	// silent answers nothing. A call that was waiting when it began is never answered either.
	silent
)

// store is the platform's store with one listener for each daemon, so that it can reject some of them.
type store struct {
	inner *standin.Store
	doors []*door

	mu   sync.Mutex
	down map[string]bool
}

// newStore returns an empty store.
func newStore() *store {
	return &store{inner: standin.NewStore(), down: map[string]bool{}}
}

// setDown makes the calls for a table fail with 503, or serves them again.
func (s *store) setDown(table string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[table] = down
}

// isDown reports whether the calls for any of the tables fail.
func (s *store) isDown(tables ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, table := range tables {
		if s.down[table] {
			return true
		}
	}
	return false
}

// putConfig writes the operator's configuration and returns when it was acknowledged.
func (s *store) putConfig(config map[string]any) (time.Time, error) {
	value, err := json.Marshal(config)
	if err != nil {
		return time.Time{}, err
	}
	body, err := json.Marshal(map[string]any{
		"expected_rev": []any{}, "remove": []any{},
		"puts": []any{map[string]any{"table": "op", "part": "", "key": "config", "value": base64.StdEncoding.EncodeToString(value)}},
	})
	if err != nil {
		return time.Time{}, err
	}
	answer := httptest.NewRecorder()
	s.inner.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/api/rows-tx", bytes.NewReader(body)))
	if answer.Code != http.StatusOK {
		return time.Time{}, fmt.Errorf("write the configuration: status %d", answer.Code)
	}
	return time.Now(), nil
}

// door is the store as one daemon reaches it.
type door struct {
	store  *store
	server *http.Server
	addr   string

	mu   sync.Mutex
	mode storeMode
	// silenced is closed when the door becomes silent, and then replaced.
	silenced chan struct{}
}

// newDoor opens a listener on the store.
func (s *store) newDoor() (*door, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{store: s, addr: listener.Addr().String(), silenced: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }()
	s.doors = append(s.doors, d)
	return d, nil
}

// set changes how the store treats the daemon.
func (d *door) set(mode storeMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if mode == silent {
		close(d.silenced)
		d.silenced = make(chan struct{})
	}
	d.mode = mode
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	mode, silenced := d.mode, d.silenced
	d.mu.Unlock()
	table := r.FormValue("table")
	if r.URL.Path == "/api/rows-tx" {
		// The daemons write to no other table.
		table = "hosts"
	}
	switch {
	case mode == silent:
		<-r.Context().Done()
		return
	case mode == busy || d.store.isDown(table):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answered := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		answer := httptest.NewRecorder()
		d.store.inner.ServeHTTP(answer, r)
		answered <- answer
	}()
	select {
	case <-silenced:
		<-r.Context().Done()
	case answer := <-answered:
		if d.store.isDown(table) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}
}

// close closes all listeners.
func (s *store) close() {
	for _, d := range s.doors {
		_ = d.server.Close()
	}
}
