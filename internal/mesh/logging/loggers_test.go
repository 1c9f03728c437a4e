package logging_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/mesh/logging"
)

// lockedBuffer is a buffer for one writer and one reader.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// count returns the number of occurrences of text.
func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), text)
}

var _ = Describe("Loggers", func() {
	// Guards against a flood of successes that suppresses the lines about failures, and against unlimited output.
	It("limits lines about decisions, failures and successes separately", func() {
		var out lockedBuffer
		lines := logging.New(&out, "h")
		for range 1000 {
			lines.Decisions.Info().Msg("success")
		}
		lines.Decisions.Warn().Msg("failure")
		lines.Events.Info().Msg("event")
		Expect(lines.Close()).To(Succeed())
		Expect(out.count("success")).To(BeNumerically("<=", 200))
		Expect(out.count("failure")).To(Equal(1))
		Expect(out.count("event")).To(Equal(1))
	})

	// Guards against requests that block on a slow reader of the output.
	It("does not block on a reader that has stopped", func() {
		reader, writer := io.Pipe()
		lines := logging.New(writer, "h")
		started := time.Now()
		for range 5000 {
			lines.Events.Info().Msg("event")
		}
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		go func() { _, _ = io.Copy(io.Discard, reader) }()
		Expect(lines.Close()).To(Succeed())
		Expect(lines.Dropped()).To(BeNumerically(">", 0))
	})
})
