package hop

import (
	"errors"
	"net/http"
)

// ErrStatusLine reports bytes that are no status line where an answer is due. They say nothing about the request, which
// may have run.
var ErrStatusLine = errors.New("malformed status line")

// statusLineForm is the beginning of a status line; x stands for the minor version and d for a digit of the status.
const statusLineForm = "HTTP/1.x ddd"

// StatusLine checks the status line of an answer byte by byte. net/http accepts statuses such as 000 and versions such as
// HTTP/9.9. A line is valid if it is one of HTTP/1.0 or HTTP/1.1 with a status from 100 to 599. The status 101 is not,
// since no request asks for another protocol. As RFC 9112 permits, a line may end with a bare line feed.
type StatusLine struct {
	read   int
	status int
	// inEnd is true behind the carriage return.
	inEnd bool
	ended bool
}

// Add checks the next byte of a line that has not ended. It returns ErrStatusLine if the line can no longer be valid.
func (s *StatusLine) Add(b byte) error {
	if !s.accept(b) {
		return ErrStatusLine
	}
	s.read++
	return nil
}

// Ended reports whether the line is complete.
func (s *StatusLine) Ended() bool { return s.ended }

// Final reports whether a complete line is that of a final answer.
func (s *StatusLine) Final() bool { return s.ended && s.status >= http.StatusOK }

// accept reports whether the line may go on with a byte.
func (s *StatusLine) accept(b byte) bool {
	if s.read >= len(statusLineForm) {
		return s.acceptRest(b)
	}
	switch statusLineForm[s.read] {
	case 'x':
		return b == '0' || b == '1'
	case 'd':
		if b < '0' || b > '9' {
			return false
		}
		s.status = s.status*10 + int(b-'0')
		if s.read == len(statusLineForm)-1 {
			return s.status >= 100 && s.status < 600 && s.status != http.StatusSwitchingProtocols
		}
		return true
	default:
		return b == statusLineForm[s.read]
	}
}

// acceptRest is accept for the bytes behind the status: the reason phrase and the end of the line.
func (s *StatusLine) acceptRest(b byte) bool {
	switch {
	case b == '\n':
		s.ended = true
		return true
	case s.inEnd:
		return false
	case b == '\r':
		s.inEnd = true
		return true
	case s.read == len(statusLineForm):
		return b == ' '
	}
	return b == '\t' || (b >= ' ' && b != 0x7f)
}
