package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// defaultBodyPause bounds the pauses in a body if the policy sets no idle time.
const defaultBodyPause = 30 * time.Second

// pacedBody is a caller's body whose reads fail when the caller pauses for too long. A caller that stalls in the middle
// of a body would otherwise hold a slot until its deadline. They also fail at the request's deadline: a caller that sends a byte
// now and then never pauses for too long.
type pacedBody struct {
	io.ReadCloser
	control *http.ResponseController
	pause   time.Duration
	// deadline is the request's.
	deadline time.Time
	// paused is set once a pause was too long. net/http then ends the request's context as if the caller had left.
	paused atomic.Bool
}

// newPacedBody returns a body whose pauses are bounded; zero selects the default.
func newPacedBody(body io.ReadCloser, w http.ResponseWriter, pause time.Duration, deadline time.Time) *pacedBody {
	if pause <= 0 {
		pause = defaultBodyPause
	}
	return &pacedBody{ReadCloser: body, control: http.NewResponseController(w), pause: pause, deadline: deadline}
}

// Read implements io.Reader. The deadline is cleared after each read: net/http takes an expired one after the end of the
// body for the caller's leaving.
func (b *pacedBody) Read(p []byte) (int, error) {
	// Writers without a connection, as in tests, have no deadlines.
	until := time.Now().Add(b.pause)
	if b.deadline.Before(until) {
		until = b.deadline
	}
	_ = b.control.SetReadDeadline(until)
	defer func() { _ = b.control.SetReadDeadline(time.Time{}) }()
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.paused.Store(true)
	}
	return n, err
}
