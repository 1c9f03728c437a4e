package daemon

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/traffic"
	"buckthornlatch.example/buckthornlatch/internal/metrics"
)

// Guards against a log that grows with the traffic, and against a stop without the totals.
func TestTrafficReport(t *testing.T) {
	meter := traffic.NewMeter(func(id.HostID) bool { return false })
	var lines bytes.Buffer
	report := newTrafficReport(meter, metrics.Discard{}, zerolog.New(&lines))
	conn, far := net.Pipe()
	defer func() { _, _ = conn.Close(), far.Close() }()
	go func() { _, _ = far.Write(make([]byte, 9)) }()
	counted := meter.Conn(conn, "other")
	call := counted.Begin()
	if _, err := counted.Read(make([]byte, 9)); err != nil {
		t.Fatal(err)
	}
	call.Settle(traffic.Refused)
	count := func() int { return strings.Count(lines.String(), "\n") }
	began := clock.Time(time.Hour)
	for since := time.Duration(0); since <= 3*trafficLogInterval; since += time.Second {
		report.update(began.Add(since))
	}
	if count() != 1 {
		t.Fatalf("%d lines without a change since the first", count())
	}
	report.log()
	if got := lines.String(); count() != 2 || strings.Count(got, `"refused":{"calls":1,"sent":0,"received":9}`) != 2 {
		t.Fatal(got)
	}
}
