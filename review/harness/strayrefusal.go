package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// shedShare is the share of the requests that the faulty target sheds, extraShare the share of its answers that it sends
	// a second time.
	shedShare  = 0.1
	extraShare = 0.03
	// strayDelay is how long after the next request on the connection the second copy of an answer is sent.
	strayDelay = 5 * time.Millisecond
	// strayWorkTime is the time of a run at the faulty target.
	strayWorkTime = 100 * time.Millisecond
)

// shedAnswer is the answer of an upstream that sheds, as `fleetbench wire` prints it.
const shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// strayTarget answers in the place of a target. While it is faulty, it sheds some requests, and sends some of these answers
// again when the next answer on the connection is expected.
type strayTarget struct {
	target *target

	mu      sync.Mutex
	faulty  bool
	random  *rand.Rand
	answers int
	extras  int
}

// setFaulty begins or ends the fault.
func (t *strayTarget) setFaulty(faulty bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faulty = faulty
	t.target.record.note("target %s is faulty: %v; %d answers, %d of them sent twice", t.target.id, faulty, t.answers, t.extras)
}

// decide counts an answer. It reports whether the request is shed, and whether that answer is sent twice.
func (t *strayTarget) decide() (shed, twice bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.faulty {
		return false, false
	}
	t.answers++
	if t.random.Float64() >= shedShare {
		return false, false
	}
	if float64(t.extras+1) <= extraShare*float64(t.answers) {
		t.extras++
		return true, true
	}
	return true, false
}

// serve accepts connections.
func (t *strayTarget) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go t.serveConn(conn)
	}
}

// serveConn answers the requests of one connection.
func (t *strayTarget) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	stray := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if stray {
			time.Sleep(strayDelay)
			t.target.record.note("target %s sends an earlier refusal again, after it has read request %s", t.target.id, request.Header.Get("Attempt-Id"))
			if _, err := io.WriteString(conn, shedAnswer); err != nil {
				return
			}
			stray = false
		}
		shed, twice := t.decide()
		if shed {
			t.target.record.note("target %s sheds request %s", t.target.id, request.Header.Get("Attempt-Id"))
			stray = twice
			if _, err := io.WriteString(conn, shedAnswer); err != nil {
				return
			}
			continue
		}
		if !t.run(conn, request) {
			return
		}
	}
}

// run runs a request and reports whether its answer was sent.
func (t *strayTarget) run(conn net.Conn, request *http.Request) bool {
	attempt, id := request.Header.Get("Attempt-Id"), t.target.id
	if named := request.Header.Get("Target-Instance"); named != id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	t.target.noteRun(request)
	time.Sleep(strayWorkTime)
	body := "ran " + attempt
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", attempt, attempt, len(body), body)
	return err == nil
}

// strayRefusal lets one of eight targets shed a part of its requests for 5 s and send a few of these answers twice.
func strayRefusal(f *fleet) ([]string, error) {
	const (
		site      = "salidas.example"
		perSecond = 160
		upstreams = 8
		until     = 16
	)
	services := []string{"reservas", "catalogo"}
	routes := map[string]any{"r-reservas": route(site, "/reservas/", "reservas", "non_idempotent")}
	if _, err := f.configure(1, services, routes, map[string]any{"escuela": tenant(0, 0, "key")}); err != nil {
		return nil, err
	}
	for i := range upstreams {
		if _, err := f.add(fmt.Sprintf("sidecar-%d", i+1), "reservas"); err != nil {
			return nil, err
		}
	}
	entry, err := f.add("sidecar-9", "catalogo")
	if err != nil {
		return nil, err
	}
	faulty := &strayTarget{target: f.hosts[0].target, random: rand.New(rand.NewPCG(1, 1))}
	f.hosts[0].target.answer = faulty.serve
	if err := f.start(f.hosts...); err != nil {
		return nil, err
	}
	f.at(4)
	f.load(entry, perSecond, until, "POST", site, "/reservas/2f", "key")
	f.at(7)
	faulty.setFaulty(f.trouble)
	f.at(12)
	faulty.setFaulty(false)
	f.at(until + 2)
	f.awaitCallers()
	var breaches []string
	runs := f.runsOf()
	for _, r := range f.allRequests() {
		switch n := len(runs[r.id]); {
		case n > 1:
			breaches = append(breaches, fmt.Sprintf("TWICE: request %s, sent at %.3f s, is not idempotent and ran %d times", r.id, f.record.since(r.sent), n))
		case n == 1 && r.status == http.StatusServiceUnavailable:
			breaches = append(breaches, fmt.Sprintf("REFUSED: request %s, sent at %.3f s, was answered with 503 and ran", r.id, f.record.since(r.sent)))
		}
	}
	return breaches, nil
}
