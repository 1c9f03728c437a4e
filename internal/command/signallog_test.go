package command

import (
	"bytes"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// lockedBuffer is a buffer that may be read while it is written to.
type lockedBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *lockedBuffer) count(part string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.lines.String(), part)
}

// TestRepeatedSignalsAreLogged guards against a second stop signal that leaves no trace.
func TestRepeatedSignalsAreLogged(t *testing.T) {
	var lines lockedBuffer
	stop := logSignals(zerolog.New(&lines))
	for want := 1; want <= 2; want++ {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(10 * time.Second); lines.count(`"signal":"hangup"`) < want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d of %d signals logged", lines.count(`"signal":"hangup"`), want)
			}
		}
	}
	stop()
	if lines.count(`"up":`) != 2 {
		t.Fatal("a line lacks the time since the start")
	}
}
