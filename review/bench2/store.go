package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store in its JSON form. Value is base64 on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// rowName identifies a row.
type rowName struct{ table, part, key string }

func (r row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	began time.Time

	mu   sync.Mutex
	ver  uint64
	rows map[rowName]row
	// changed is closed and replaced by each transaction.
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{})}
}

// handler returns the store as one host reaches it. While down returns true, calls are answered 503, and nothing is done.
func (s *store) handler(down func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// put writes a row as the operator.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

// value returns the value of a row, nil if there is none.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowName{table: table, key: key}].Value
}

// apply performs a transaction. The caller must hold s.mu.
func (s *store) apply(puts, removals []row) uint64 {
	s.ver++
	for _, r := range puts {
		r.Ver, r.Tombstone = s.ver, false
		s.rows[r.name()] = r
	}
	for _, r := range removals {
		s.rows[r.name()] = row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Tombstone: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, expected := range tx.Expected {
		known, found := s.rows[expected.name()]
		exists := found && !known.Tombstone
		if exists {
			current = append(current, known)
		}
		if (exists && known.Ver != expected.Ver) || (!exists && expected.Ver != 0) {
			conflict = true
		}
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	s.apply(tx.Puts, tx.Remove)
	s.answer(w, http.StatusOK, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, to := r.FormValue("from"), r.FormValue("to")
	s.answer(w, http.StatusOK, s.selectRows(func(known row) bool {
		return known.Table == r.FormValue("table") && known.Part == r.FormValue("part") && !known.Tombstone &&
			known.Key >= from && (to == "" || known.Key < to)
	}, func(a, b row) bool { return a.Key < b.Key }))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		changed := s.changed
		found := s.selectRows(func(known row) bool { return known.Table == r.FormValue("table") && known.Ver > after },
			func(a, b row) bool { return a.Ver < b.Ver })
		if len(found) > 0 || !waiting {
			s.answer(w, http.StatusOK, found)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// selectRows returns rows in order. The caller must hold s.mu.
func (s *store) selectRows(matches func(row) bool, before func(a, b row) bool) []row {
	found := []row{}
	for _, known := range s.rows {
		if matches(known) {
			found = append(found, known)
		}
	}
	sort.Slice(found, func(i, j int) bool { return before(found[i], found[j]) })
	return found
}

// answer writes an answer about rows. The caller must hold s.mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that misses the answer asks again.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": false, "ver": s.ver, "now_ms": time.Since(s.began).Milliseconds(),
	})
}
