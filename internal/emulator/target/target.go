package target

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
)

const (
	// RequestIDHeader carries the caller's id of a request; runs are counted by it.
	RequestIDHeader = "X-Request-Id"
	// NotRunHeader on a refusal states that the work did not start.
	NotRunHeader = "Bl-Not-Run"
	// AttemptHeader carries the gate's id of the attempt, which responses echo.
	AttemptHeader = "X-Attempt"
	// AnswerBytesHeader asks for an answer body of that many bytes.
	AnswerBytesHeader = "X-Answer-Bytes"
	// maxAnswerBytes bounds the answers that a caller may ask for.
	maxAnswerBytes = 64 << 20
	// answerChunkBytes is the size of one write of a large answer.
	answerChunkBytes = 32 << 10
)

// Target is one emulated back end. Start it with Run.
type Target struct {
	config  Config
	runs    *Runs
	slots   chan struct{}
	started time.Time
	// gate identifies the process of the gate that has answered the last announcement.
	gate string

	mu     sync.Mutex
	mode   Mode
	random *rand.Rand
	server *http.Server
	addr   string
	back   time.Time
	// crashes counts the crashes by requests.
	crashes int
}

// New returns a healthy target that is not yet listening.
func New(config Config, runs *Runs) *Target {
	return &Target{
		config:  config,
		runs:    runs,
		slots:   make(chan struct{}, config.Slots),
		started: time.Now(),
		mode:    Healthy,
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed+1)),
	}
}

// Name returns the target's name.
func (t *Target) Name() string {
	return t.config.Name
}

// Addr returns the work address; it is empty before Listen.
func (t *Target) Addr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addr
}

// Listen opens the work address. A target that was closed listens on the same port again.
func (t *Target) Listen() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server != nil {
		return nil
	}
	address := t.addr
	if address == "" {
		address = t.config.Listen
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.New("listen for work", address, err)
	}
	t.addr = listener.Addr().String()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	go func(server *http.Server) {
		_ = server.Serve(listener)
	}(t.server)
	return nil
}

// Close stops listening and breaks every connection, as a crash does.
func (t *Target) Close() {
	t.mu.Lock()
	server := t.server
	t.server = nil
	t.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// SetMode changes how the target treats work from now on.
func (t *Target) SetMode(mode Mode) error {
	if !mode.valid() {
		return fault.New("set mode", t.config.Name, errors.New("unknown mode "+strconv.Quote(string(mode))))
	}
	t.mu.Lock()
	t.mode = mode
	t.mu.Unlock()
	if mode == Down {
		t.Close()
		return nil
	}
	return t.Listen()
}

// currentMode returns the effective mode; flapping resolves to healthy or gray.
func (t *Target) currentMode() Mode {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode != Flapping {
		return t.mode
	}
	if (time.Since(t.started)/FlapPeriod)%2 == 0 {
		return Healthy
	}
	return Gray
}

// ServeHTTP implements http.Handler for work and the health page.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		_, _ = io.WriteString(w, "ok\n")
		return
	}
	if t.config.CrashPath != "" && strings.HasPrefix(r.URL.Path, t.config.CrashPath) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	mode := t.currentMode()
	if mode == Shedding {
		w.Header().Set(NotRunHeader, "true")
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slots }()
	t.work(w, r, mode)
}

// work runs one request in a slot.
func (t *Target) work(w http.ResponseWriter, r *http.Request, mode Mode) {
	switch mode {
	case Hang:
		<-r.Context().Done()
		return
	case Gray:
		http.Error(w, "internal failure", http.StatusInternalServerError)
		return
	}
	// The effect happens at the start of the service time, so that a caller
	// that goes away later leaves a run behind, as a real booking would.
	t.runs.Add(r.Header.Get(RequestIDHeader))
	if !clock.Sleep(r.Context(), t.serviceTime(mode)) {
		return
	}
	w.Header().Set("X-Target", t.config.Name)
	answer(w, r)
}

// serviceTime draws the time of one request.
func (t *Target) serviceTime(mode Mode) time.Duration {
	t.mu.Lock()
	drawn := t.random.ExpFloat64()
	cold := time.Since(t.started) < t.config.ColdStart
	t.mu.Unlock()
	// Half of the mean is fixed, the other half exponential.
	taken := time.Duration(float64(t.config.ServiceTime) * (0.5 + 0.5*drawn))
	if mode == Slow || cold {
		taken *= SlowFactor
	}
	return taken
}

// crash closes the target and brings it back after CrashRestart.
func (t *Target) crash() {
	t.mu.Lock()
	t.back = time.Now().Add(CrashRestart)
	t.crashes++
	t.mu.Unlock()
	t.Close()
}

// Crashes returns how often a request crashed the target.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// revive reopens a crashed target when its time has come.
func (t *Target) revive() {
	t.mu.Lock()
	due := !t.back.IsZero() && time.Now().After(t.back) && t.mode != Down
	if due {
		t.back = time.Time{}
		t.started = time.Now()
	}
	t.mu.Unlock()
	if due {
		_ = t.Listen()
	}
}

// listening reports whether the target accepts work.
func (t *Target) listening() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server != nil
}

// answer writes the answer body: the request id, or as many bytes as asked for.
func answer(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.Header.Get(AnswerBytesHeader))
	if err != nil || size < 0 || size > maxAnswerBytes {
		_, _ = io.WriteString(w, r.Header.Get(RequestIDHeader)+"\n")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, min(size, answerChunkBytes))
	for size > 0 {
		n, err := w.Write(chunk[:min(size, len(chunk))])
		if err != nil {
			return
		}
		size -= n
	}
}
