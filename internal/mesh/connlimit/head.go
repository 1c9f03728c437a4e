package connlimit

import (
	"bytes"
	"strconv"
)

// headEnd returns the length of the head at the beginning of data, negative if it is not whole. Its first seen bytes were searched
// before. It finds the end where net/http does: at an empty line, ended by CR LF or LF, behind another line.
func headEnd(data []byte, seen int) int {
	first := 0
	for first < len(data) && (data[first] == '\r' || data[first] == '\n') {
		// net/http skips the line end that old clients send behind a body.
		first++
	}
	at := max(first, seen-2)
	for {
		i := bytes.IndexByte(data[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		switch rest := data[at:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return at + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return at + 2
		}
	}
}

// countLines returns the number of lines of a head.
func countLines(head []byte) int { return bytes.Count(head, []byte("\n")) }

// fieldBytes returns the length of a head without its first line.
func fieldBytes(head []byte) int {
	_, fields, _ := bytes.Cut(bytes.TrimLeft(head, "\r\n"), []byte("\n"))
	return len(fields)
}

// bodyOf returns the body that follows a head, nil without one. It is strict: where net/http may read the length differently, the end
// of the body counts as unknown.
func bodyOf(head []byte) *body {
	lines := bytes.Split(bytes.TrimLeft(head, "\r\n"), []byte("\n"))
	var length, encoding [][]byte
	for _, line := range lines[1:] {
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return &body{state: bodyUnknown}
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch value = bytes.TrimSpace(value); {
		case len(bytes.TrimSpace(name)) < len(name) && len(bytes.TrimSpace(line)) > 0:
			return &body{state: bodyUnknown}
		case bytes.EqualFold(name, []byte("content-length")):
			length = append(length, value)
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			encoding = append(encoding, value)
		}
	}
	http11 := bytes.HasSuffix(bytes.TrimSpace(lines[0]), []byte("HTTP/1.1"))
	switch {
	case len(length) == 0 && len(encoding) == 0:
		return nil
	case len(length) == 1 && len(encoding) == 0:
		n, err := strconv.ParseUint(string(length[0]), 10, 63)
		if err != nil {
			return &body{state: bodyUnknown}
		}
		if n == 0 {
			return nil
		}
		return &body{state: bodyCounted, left: int64(n), length: int64(n)}
	case len(length) == 0 && len(encoding) == 1 && http11 && bytes.EqualFold(encoding[0], []byte("chunked")):
		return &body{state: chunkSize}
	}
	return &body{state: bodyUnknown}
}
