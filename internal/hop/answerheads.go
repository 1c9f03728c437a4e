package hop

// answerHeads checks the status lines of the answers to one request: the informational ones and the final one. Bytes behind
// the final status line are not checked.
type answerHeads struct {
	line  StatusLine
	final bool
	// lineBegun is true within a header line of an informational answer.
	lineBegun bool
	err       error
}

// check checks the next bytes. If they hold an invalid status line, it returns how many bytes there are up to and including
// the first invalid one, and the error. It must not be called again then.
func (h *answerHeads) check(p []byte) (int, error) {
	for i, b := range p {
		if h.final {
			break
		}
		if h.err = h.add(b); h.err != nil {
			return i + 1, h.err
		}
	}
	return len(p), nil
}

// add checks one byte.
func (h *answerHeads) add(b byte) error {
	if !h.line.Ended() {
		err := h.line.Add(b)
		h.final = h.line.Final()
		return err
	}
	switch b {
	case '\n':
		if !h.lineBegun {
			// The next answer begins behind the empty line.
			h.line = StatusLine{}
		}
		h.lineBegun = false
	case '\r':
	default:
		h.lineBegun = true
	}
	return nil
}
