package crashes

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
)

// maxPublished bounds the requests in a host's record. With about 150 bytes each they stay far below the 64 KB that the
// store takes for a row.
const maxPublished = 64

// Evidence is what a host knows about crashes. It is safe for concurrent use.
type Evidence struct {
	target id.TargetID
	shared *quarantine.Shared

	mu sync.Mutex
	// merged holds the evidence that was taken over from each host's record.
	merged map[id.HostID]string
	// published is the own evidence in the form of the record.
	published string
	any       bool
}

// New returns a host without evidence. The incarnation tells the crashes that this process sees from those that an
// earlier process on the host saw.
func New(host id.HostID, incarnation id.Incarnation, clk clock.Clock) *Evidence {
	return &Evidence{
		target: id.TargetID{Host: host, Name: targetName},
		shared: quarantine.NewShared(quarantine.Config{Host: host, Incarnation: incarnation}, clk),
		merged: map[id.HostID]string{},
	}
}

// targetName is the name of each host's only target in the evidence.
const targetName = "target"

// Fingerprint returns an attempt's fingerprint.
func Fingerprint(a *link.Attempt) string {
	path, _, _ := strings.Cut(a.URI, "?")
	return quarantine.Fingerprint(a.Customer, a.Route, a.Method, path, a.Body.Data)
}

// Started notes that an attempt was handed to the own target.
func (e *Evidence) Started(fingerprint string) {
	e.shared.With(func(q *quarantine.Quarantine, _ clock.Time) { q.Started(fingerprint, e.target) })
}

// Ended notes the end of an attempt that did not crash the target. A completed one clears its request of earlier
// crashes.
func (e *Evidence) Ended(fingerprint string, completed bool) {
	e.shared.With(func(q *quarantine.Quarantine, now clock.Time) { q.Ended(fingerprint, e.target, completed, now) })
}

// Crashed notes that the own target has crashed with all attempts that it was working on.
func (e *Evidence) Crashed() {
	e.shared.With(func(q *quarantine.Quarantine, now clock.Time) { q.Crashed(e.target, now) })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.any = true
}

// Any reports whether there is evidence against any request. Without it no fingerprint needs to be computed.
func (e *Evidence) Any() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.any
}

// Quarantined reports whether a request is kept away from targets.
func (e *Evidence) Quarantined(fingerprint string) bool {
	return e.shared.Check(fingerprint) == quarantine.Quarantined
}

// Published returns the own evidence in the form of the record.
func (e *Evidence) Published() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.published
}

// Refresh computes the published form anew and reports whether it changed. Ages are left as they were first published,
// so that unchanged evidence causes no write.
func (e *Evidence) Refresh() bool {
	if !e.Any() {
		return false
	}
	var suspects []membership.Suspect
	e.shared.With(func(q *quarantine.Quarantine, now clock.Time) { suspects = q.Publish(now) })
	suspects = suspects[:min(len(suspects), maxPublished)]
	e.mu.Lock()
	defer e.mu.Unlock()
	if sameCrashes(suspects, decode(e.published)) {
		return false
	}
	e.published = encode(suspects)
	return true
}

// Merge takes over the evidence in the records of other hosts. The error names a record that cannot be read; the others
// are taken over.
func (e *Evidence) Merge(view *roster.View) error {
	var failed error
	for _, r := range view.Hosts() {
		if r.Host == e.target.Host || !e.isNew(r) {
			continue
		}
		var suspects []membership.Suspect
		if err := json.Unmarshal([]byte(r.Suspects), &suspects); err != nil {
			failed = fault.New("read evidence about crashes", string(r.Host), err)
			continue
		}
		e.shared.With(func(q *quarantine.Quarantine, now clock.Time) { q.Merge(suspects, now) })
	}
	return failed
}

// isNew reports whether a record holds evidence that was not merged yet, and remembers it.
func (e *Evidence) isNew(r roster.Record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.merged[r.Host] == r.Suspects {
		return false
	}
	e.merged[r.Host] = r.Suspects
	e.any = e.any || r.Suspects != ""
	return r.Suspects != ""
}

// encode returns the record's form of evidence; empty for none.
func encode(suspects []membership.Suspect) string {
	if len(suspects) == 0 {
		return ""
	}
	raw, err := json.Marshal(suspects)
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	return string(raw)
}

// decode reads what encode returned.
func decode(published string) []membership.Suspect {
	if published == "" {
		return nil
	}
	var suspects []membership.Suspect
	if err := json.Unmarshal([]byte(published), &suspects); err != nil {
		panic(err)
	}
	return suspects
}

// sameCrashes reports whether two publications differ only in ages.
func sameCrashes(a, b []membership.Suspect) bool {
	return slices.EqualFunc(a, b, func(x, y membership.Suspect) bool {
		return x.Fingerprint == y.Fingerprint && slices.EqualFunc(x.Crashed, y.Crashed, sameCrash) && slices.EqualFunc(x.Cleared, y.Cleared, sameCrash)
	})
}

// sameCrash reports whether two references name one crash.
func sameCrash(a, b membership.CrashRef) bool {
	return a.Target == b.Target && a.Number == b.Number
}
