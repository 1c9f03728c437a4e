package gate

import (
	"context"
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// fetchBody asks the entry for the body.
func (w *work) fetchBody(ctx context.Context) *link.Result {
	read := make(chan error, 1)
	go func() { read <- w.attempt.Body.Prefetch(keptBody) }()
	timeout := time.NewTimer(bodyWait)
	defer timeout.Stop()
	var err error
	select {
	case err = <-read:
	case <-ctx.Done():
		err = context.Cause(ctx)
	case <-timeout.C:
		err = errBodyLate
	}
	if err != nil {
		result := refused(link.BodyBroken, 0)
		result.Err = err
		return result
	}
	return nil
}

// errBodyLate ends the wait for a body.
var errBodyLate = errors.New("the body did not arrive in time")
