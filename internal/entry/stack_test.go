package entry_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
	"buckthornlatch.example/buckthornlatch/rpc/fate"
)

// cleaner registers cleanup functions of a test or benchmark.
type cleaner interface {
	Cleanup(func())
}

// ginkgoCleaner registers cleanups with the running spec.
type ginkgoCleaner struct{}

func (ginkgoCleaner) Cleanup(f func()) { DeferCleanup(f) }

// stack is an entry in front of gates with one target each, all on loopback.
type stack struct {
	t         cleaner
	directory *directory
	ledger    *ledger
	clock     clock.Clock
	sender    *hop.Client
	entry     *entry.Entry
	front     *httptest.Server
	gates     []*gate.Gate
	// addresses holds the targets' addresses by name.
	addresses map[string]string
	// resolver returns the gate that answers outcome queries for another gate; nil selects that gate itself.
	resolver func(*gate.Gate) *gate.Gate
}

// newStack returns a stack without gates.
func newStack(t cleaner) *stack {
	s := &stack{
		t: t, ledger: &ledger{}, clock: clock.NewSystem(), addresses: map[string]string{},
		directory: &directory{
			validFor: 10 * time.Second,
			service: catalogue.Service{
				Name: "walks", QueueLimit: 100, RequestTimeout: 5 * time.Second,
				ProgressTimeout: time.Second, MaxBodyBytes: 1 << 20,
			},
		},
	}
	s.useHopSilence(1500 * time.Millisecond)
	s.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.entry.ServeHTTP(w, r) }))
	t.Cleanup(s.front.Close)
	return s
}

// useHopSilence replaces the entry by one whose hops may make no progress for the given time.
func (s *stack) useHopSilence(silence time.Duration) {
	s.sender = hop.NewClient(hop.Config{ProgressTimeout: silence}, s.clock)
	s.t.Cleanup(s.sender.Close)
	s.entry = entry.New(entry.Config{ResolveTimeout: 2 * time.Second}, entry.Deps{
		Clock: s.clock, Authenticator: s.directory, Router: s.directory, Quarantine: s.directory,
		Admitter: s.directory, Ledger: s.ledger, Tickets: s.directory, Picker: s.directory, Sender: s.sender,
		Random: rand.Reader, Log: zerolog.Nop(),
	})
}

// keepAnnouncing repeats all targets' announcements until the returned function is called.
func (s *stack) keepAnnouncing(slots int) func() {
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(targetapi.Period):
				for i, g := range s.gates {
					name := s.directory.targets[i].Target.Name
					s.announce(g, name, s.addresses[name], slots, targetapi.Serving)
				}
			}
		}
	}()
	return func() { close(stop) }
}

// addGate starts a target with the handler and a gate for it, and returns the gate and the candidate.
func (s *stack) addGate(name string, slots int, handler http.HandlerFunc) (*gate.Gate, entry.Candidate) {
	return s.addGateWithFault(name, slots, handler, func(h http.Handler) http.Handler { return h })
}

// addGateWithFault is like addGate, with a fault-injecting middleware around the gate's hop handler.
func (s *stack) addGateWithFault(name string, slots int, handler http.HandlerFunc, fault func(http.Handler) http.Handler) (*gate.Gate, entry.Candidate) {
	target := httptest.NewServer(handler)
	s.t.Cleanup(target.Close)
	g := s.newGate(name, 7)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = g.Run(ctx) }()
	s.t.Cleanup(cancel)
	mux := http.NewServeMux()
	mux.Handle(hop.Path, fault(g))
	resolver := g
	if s.resolver != nil {
		resolver = s.resolver(g)
	}
	mux.Handle(fate.FatePathPrefix, fate.NewFateServer(gate.NewFateServer(resolver)))
	server := httptest.NewServer(mux)
	s.t.Cleanup(server.Close)
	s.addresses[name] = target.Listener.Addr().String()
	s.announce(g, name, target.Listener.Addr().String(), slots, targetapi.Serving)
	candidate := entry.Candidate{
		Target: id.TargetID{Host: id.HostID("host-" + name), Name: name},
		Gate:   server.Listener.Addr().String(),
	}
	s.directory.mu.Lock()
	defer s.directory.mu.Unlock()
	s.directory.targets = append(s.directory.targets, candidate)
	s.gates = append(s.gates, g)
	return g, candidate
}

// newGate returns a gate that stands for one process of a host, identified by the incarnation.
func (s *stack) newGate(name string, incarnation id.Incarnation) *gate.Gate {
	return gate.New(gate.Config{Host: id.HostID("host-" + name), Incarnation: incarnation}, gate.Deps{
		Quarantine: noGateQuarantine{},
		Clock:      s.clock, Catalogue: s.directory, Revocations: s.directory, Health: s.directory,
		Order: gate.NewFIFO(), Log: zerolog.Nop(),
	})
}

// announce passes a target's announcement to its gate, with the identity that the gate has answered to a first one, and returns the
// status.
func (s *stack) announce(g *gate.Gate, name, address string, slots int, state targetapi.State) int {
	process := ""
	for {
		body, err := json.Marshal(targetapi.Announcement{
			Name: name, Service: "walks", Address: address, Slots: slots, State: state, Gate: process,
		})
		if err != nil {
			panic(err)
		}
		recorder := httptest.NewRecorder()
		g.Announce(recorder, httptest.NewRequest(http.MethodPost, targetapi.AnnouncePath, bytes.NewReader(body)))
		if process != "" {
			return recorder.Code
		}
		process = recorder.Header().Get(targetapi.HeaderGate)
	}
}

// request builds a caller's request with the valid key.
func (s *stack) request(method, path string, body io.Reader) *http.Request {
	request, err := http.NewRequest(method, s.front.URL+path, body)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+validKey)
	return request
}

// answer is a caller's view of a response.
type answer struct {
	status  int
	body    string
	header  http.Header
	problem problem.Details
	// err is set when the connection was aborted.
	err error
}

// do sends a caller's request and reads the response.
func (s *stack) do(request *http.Request) answer {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, body: string(body), header: response.Header, err: err}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem") {
		Expect(json.Unmarshal(body, &a.problem)).To(Succeed())
	}
	return a
}
