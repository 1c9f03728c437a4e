package statesync

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// noMetrics discards metrics.
type noMetrics struct{}

func (noMetrics) PolicyRejected()    {}
func (noMetrics) PolicyWarnings(int) {}
func (noMetrics) RecordIgnored()     {}

// FuzzHostRecord guards against a row that ends the process, hides another host, or puts a record into use that names no
// host to use.
func FuzzHostRecord(f *testing.F) {
	f.Add("b:1", `{"host":"b:1","domain":"north","service":"walks","state":"serving","slots":5,"target":{"id":"t","born":1}}`)
	f.Add("b:1", `{"host":"b:1","service":"walks","state":"gone","slots":-1}`)
	f.Add("b:65536", `{"host":"b:65536","service":"walks","state":"serving","slots":1e400}`)
	f.Add("a:1", strings.Repeat("[", 20_000))
	f.Fuzz(func(t *testing.T, key, value string) {
		s := New(Config{
			Self: "a:1", Keys: Keys{HostPrefix: "hosts/"}, OnChange: func(*policy.Snapshot, *roster.View) {},
			OnRestored: func(roster.Record) {}, Log: zerolog.Nop(), Metrics: noMetrics{},
		})
		good := platform.Row{Key: "hosts/good:1", Revision: 1, Value: []byte(`{"host":"good:1","service":"walks","state":"serving","slots":5}`)}
		s.applyRoster([]platform.Row{good, {Key: "hosts/" + key, Revision: 2, Value: []byte(value)}}, 2, true)
		if _, known := s.View().Find("good:1"); !known && id.HostID(key) != "good:1" {
			t.Fatal("the odd row hid another one")
		}
		for _, r := range s.View().Hosts() {
			if !r.Valid(time.Now()) {
				t.Fatalf("record %+v", r)
			}
		}
	})
}
