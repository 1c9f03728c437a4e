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
	// sendAttempts bounds how often a change with an open outcome is sent.
	sendAttempts = 4
	// sendPause is the time between two sends.
	sendPause = time.Second
)

// ChangeOptions are the options of every subcommand that makes a change.
type ChangeOptions struct {
	Why      string `arg:"--why,required" placeholder:"TEXT" help:"reason, kept in the audit trail"`
	ChangeID string `arg:"--change-id" placeholder:"ID" help:"repeat a change whose outcome is unknown; default: a new random id"`
}

// prepare chooses a change id if there is none and prints it before anything is sent.
func (o *ChangeOptions) prepare(stdout io.Writer) error {
	if o.ChangeID == "" {
		o.ChangeID = rand.Text()
	}
	_, err := fmt.Fprintf(stdout, "change id: %s\n", o.ChangeID)
	return err
}

// send makes a call until its outcome is known, for at most sendAttempts times.
func (o *ChangeOptions) send(ctx context.Context, call func() error) error {
	for attempt := 1; ; attempt++ {
		err := call()
		if err == nil || !isOpen(err) {
			return err
		}
		if attempt == sendAttempts || !clock.Sleep(ctx, sendPause) {
			return fmt.Errorf("outcome unknown, repeat with --change-id %s: %w", o.ChangeID, err)
		}
	}
}

// isOpen reports whether a call may have had an effect: the daemon says so, or
// its answer did not arrive.
func isOpen(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return false
	}
	var answer twirp.Error
	if !errors.As(err, &answer) {
		return true
	}
	return answer.Code() == twirp.Unknown || answer.Code() == twirp.Internal ||
		answer.Meta("http_error_from_intermediary") != ""
}
