package gate

import (
	"context"
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// fetchBody reads the beginning of the request body, which a remote entry holds back until now. If the body breaks off
// within it, the attempt has not run.
func (e *execution) fetchBody(ctx context.Context) *link.Result {
	if e.attempt.Body.Whole() {
		return nil
	}
	read := make(chan error, 1)
	go func() { read <- e.attempt.Body.Prefetch(link.MaxBufferedBody) }()
	timeout := time.NewTimer(bodyPrefetchTimeout)
	defer timeout.Stop()
	var err error
	select {
	case err = <-read:
	case <-ctx.Done():
		err = context.Cause(ctx)
	case <-timeout.C:
		err = errBodyTimeout
	}
	if err != nil {
		result := newRefusal(link.BodyBroken, 0)
		result.Err = err
		return result
	}
	return nil
}

// errBodyTimeout reports a body that did not arrive within bodyPrefetchTimeout.
var errBodyTimeout = errors.New("the body did not arrive in time")
