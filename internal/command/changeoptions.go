package command

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/twitchtv/twirp"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// maxSends is the number of times a change is sent while its outcome is unknown.
	maxSends = 4
	// resendInterval is the pause before a change is sent again.
	resendInterval = time.Second
)

// ChangeOptions are the flags of every subcommand that makes a change.
type ChangeOptions struct {
	Why      string `arg:"--why,required" placeholder:"TEXT" help:"reason, kept in the audit trail"`
	ChangeID string `arg:"--change-id" placeholder:"ID" help:"repeat a change whose outcome is unknown; default: a new random id"`
}

// printChangeID generates a change id if none was given and prints it. Callers
// do this before they send anything, so that the change can be repeated with
// the same id.
func (o *ChangeOptions) printChangeID(stdout io.Writer) error {
	if o.ChangeID == "" {
		o.ChangeID = rand.Text()
	}
	_, err := fmt.Fprintf(stdout, "change id: %s\n", o.ChangeID)
	return err
}

// sendUntilKnown repeats a call until its outcome is known, at most maxSends times. Once the outcome of one send is
// unknown, only an answer that tells the state of the catalogue makes it known.
func (o *ChangeOptions) sendUntilKnown(ctx context.Context, call func() error) error {
	unknown := false
	for sends := 1; ; sends++ {
		err := call()
		if err == nil || !(outcomeUnknown(err) || unknown && noAnswer(err)) {
			return err
		}
		unknown = true
		if sends == maxSends || !clock.Sleep(ctx, resendInterval) {
			return fmt.Errorf("outcome unknown, repeat with --change-id %s: %w", o.ChangeID, err)
		}
	}
}

// noAnswer reports whether a call failed before the daemon knew the state of the catalogue.
func noAnswer(err error) bool {
	var apiErr twirp.Error
	// The client reports a failed dial as Internal.
	return !errors.As(err, &apiErr) || apiErr.Code() == twirp.Unavailable || apiErr.Code() == twirp.Internal
}

// outcomeUnknown reports whether a failed call may have taken effect: the daemon
// reported an unknown outcome or an internal error, an intermediary responded
// instead, or no response arrived. After a failed dial nothing was sent.
func outcomeUnknown(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return false
	}
	var apiErr twirp.Error
	if !errors.As(err, &apiErr) {
		return true
	}
	return apiErr.Code() == twirp.Unknown || apiErr.Code() == twirp.Internal ||
		apiErr.Meta("http_error_from_intermediary") != ""
}
