package callerconn

import (
	"bufio"
	"bytes"
	"net/http"
)

// maxHeader bounds the header of a request whose boundary is searched for, in bytes.
const maxHeader = 16 << 10

// boundary is what is known of the end of the next request.
type boundary int

const (
	// incomplete means that the end of the request's header was not received yet.
	incomplete boundary = iota
	// found means that the request ends with its header, and the next one may follow.
	found
	// last means that the boundary of this or of the next request cannot be told.
	last
)

// headerEnd ends a header.
var headerEnd = []byte("\r\n\r\n")

// findBoundary looks for the end of the request at the beginning of data. It returns the length of the request if the
// boundary was found. It is strict: where net/http may read a request differently, it returns last.
func findBoundary(data []byte) (int, boundary) {
	if !hasPrefixUpTo(data, "GET ") && !hasPrefixUpTo(data, "HEAD ") {
		return 0, last
	}
	end := bytes.Index(data, headerEnd)
	if end < 0 {
		if len(data) > maxHeader {
			return 0, last
		}
		return 0, incomplete
	}
	if end > maxHeader || !isSimpleHeader(data[:end]) {
		return 0, last
	}
	return end + len(headerEnd), found
}

// hasPrefixUpTo reports whether data begins with the prefix, or the prefix with data.
func hasPrefixUpTo(data []byte, prefix string) bool {
	n := min(len(data), len(prefix))
	return string(data[:n]) == prefix[:n]
}

// framingHeaders are the headers, in lower case, after which the end of a request is not the end of its header, or the
// connection may not go on with another request.
var framingHeaders = []string{"content-length", "transfer-encoding", "expect", "upgrade", "connection", "trailer"}

// isSimpleHeader reports whether the lines of a header leave no doubt that the request has no body: it is HTTP/1.1, all
// lines end with CR LF, none continues another one, and no header frames the request.
func isSimpleHeader(header []byte) bool {
	first := true
	for line := range bytes.SplitSeq(header, []byte("\r\n")) {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return false
		}
		if first {
			if !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
				return false
			}
			first = false
			continue
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return false
		}
		for _, framing := range framingHeaders {
			if len(name) == len(framing) && bytes.EqualFold(name, []byte(framing)) {
				return false
			}
		}
	}
	return true
}

// parseRequest parses a complete request without a body.
func parseRequest(data []byte) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
}
