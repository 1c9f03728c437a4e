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

// maxPublished bounds the number of requests in a host's record. At about 150 bytes each they stay far below the 64 KB
// that the store accepts for a row.
const maxPublished = 64

// Evidence is a host's own and merged evidence about crashes. It is safe for concurrent use.
type Evidence struct {
	target id.TargetID
	shared *quarantine.Shared

	mu sync.Mutex
	// merged holds the last evidence that was read from each host's record.
	merged map[id.HostID]string
	// published is this host's evidence as encoded in its record.
	published string
	// nonEmpty is set by the first evidence, own or merged, and never reset.
	nonEmpty bool
}

// New returns empty evidence for a host. The incarnation distinguishes the crashes that this process observes from those
// that an earlier process on the host observed.
func New(host id.HostID, incarnation id.Incarnation, clk clock.Clock) *Evidence {
	return &Evidence{
		target: id.TargetID{Host: host, Name: targetName},
		shared: quarantine.NewShared(quarantine.Config{Host: host, Incarnation: incarnation}, clk),
		merged: map[id.HostID]string{},
	}
}

// targetName identifies the only target of each host in the evidence.
const targetName = "target"

// Fingerprint returns an attempt's fingerprint.
func Fingerprint(a *link.Attempt) string {
	path, _, _ := strings.Cut(a.URI, "?")
	return quarantine.Fingerprint(a.Customer, a.Route, a.Method, path, a.Body.Data)
}

// Started records that an attempt was handed to this host's target.
func (e *Evidence) Started(fingerprint string) {
	e.shared.With(func(q *quarantine.Quarantine, _ clock.Time) { q.Started(fingerprint, e.target) })
}

// Ended records the end of an attempt that did not crash the target. An attempt that completed clears its request of
// earlier crashes.
func (e *Evidence) Ended(fingerprint string, completed bool) {
	e.shared.With(func(q *quarantine.Quarantine, now clock.Time) { q.Ended(fingerprint, e.target, completed, now) })
}

// Crashed records that this host's target has crashed with all attempts that it was working on.
func (e *Evidence) Crashed() {
	e.shared.With(func(q *quarantine.Quarantine, now clock.Time) { q.Crashed(e.target, now) })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nonEmpty = true
}

// Any reports whether there ever was evidence about a crash. Without evidence, no fingerprint needs to be checked.
func (e *Evidence) Any() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.nonEmpty
}

// Quarantined reports whether a request is quarantined, and so must not be run.
func (e *Evidence) Quarantined(fingerprint string) bool {
	return e.shared.Check(fingerprint) == quarantine.Quarantined
}

// Published returns this host's evidence as encoded in its record.
func (e *Evidence) Published() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.published
}

// Refresh updates the published evidence and reports whether it changed. A difference in ages alone is not a change, so
// that unchanged evidence causes no write.
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

// Merge merges the evidence in the records of other hosts. It skips records that cannot be decoded; the error names the
// last one of them.
func (e *Evidence) Merge(view *roster.View) error {
	var failed error
	for _, r := range view.Hosts() {
		if r.Host == e.target.Host || !e.markMerged(r) {
			continue
		}
		var suspects []membership.Suspect
		if err := json.Unmarshal([]byte(r.Suspects), &suspects); err != nil {
			failed = fault.New("decode crash evidence", string(r.Host), err)
			continue
		}
		e.shared.With(func(q *quarantine.Quarantine, now clock.Time) { q.Merge(suspects, now) })
	}
	return failed
}

// markMerged records a host's evidence as merged and reports whether it is new and not empty.
func (e *Evidence) markMerged(r roster.Record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.merged[r.Host] == r.Suspects {
		return false
	}
	e.merged[r.Host] = r.Suspects
	e.nonEmpty = e.nonEmpty || r.Suspects != ""
	return r.Suspects != ""
}

// encode returns the form of evidence in a record, which is empty if there is none.
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

// decode decodes what encode returned.
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

// sameCrashes reports whether two lists of suspects are equal except for ages.
func sameCrashes(a, b []membership.Suspect) bool {
	return slices.EqualFunc(a, b, func(x, y membership.Suspect) bool {
		return x.Fingerprint == y.Fingerprint && slices.EqualFunc(x.Crashed, y.Crashed, sameCrash) && slices.EqualFunc(x.Cleared, y.Cleared, sameCrash)
	})
}

// sameCrash reports whether two references name the same crash.
func sameCrash(a, b membership.CrashRef) bool {
	return a.Target == b.Target && a.Number == b.Number
}
