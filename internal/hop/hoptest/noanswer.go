package hoptest

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// NoAnswer is what a target sends in place of an answer, {fields} standing for the test's header lines.
type NoAnswer struct {
	Name string
	wire string
	// Short says that more bytes could make an answer of it, so that its connection must end.
	Short bool
}

// Wire returns the bytes with the test's header lines, each of which ends with \r\n.
func (a NoAnswer) Wire(fields string) string {
	return strings.ReplaceAll(a.wire, "{fields}", fields)
}

// noStatusLines are no status lines of HTTP/1.
var noStatusLines = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 007 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 799 OK", "HTTP/1.1 999 OK",
	"HTTP/1.1 20 OK", "HTTP/1.1 20", "HTTP/1.1 2000 OK", "HTTP/1.1 200OK", "HTTP/1.1 ", "HTTP/1.1", "", "200 OK",
	"HTTP/1.1 +20 OK", "HTTP/1.1 -01 OK", "HTTP/1.1 2OO OK", "HTTP/1.1 0x1 OK",
	"HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP/01.1 200 OK", "HTTP/1 200 OK",
	"HTTP 200 OK", "http/1.1 200 OK", "ICY 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK",
	"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 \rOK", "HTTP/1.1 200 OK\r",
	// A refusal that is none.
	"HTTP/1.1 0503 Full", "HTTP/9.9 503 Full", "HTTP/1.1  503 Full", "HTTP/2.0 421 Misdirected Request",
}

// NoAnswers returns bytes that are no answer, nearly all because of their status line.
func NoAnswers() []NoAnswer {
	const (
		rest = "\r\n{fields}Content-Length: 4\r\n\r\ndone"
		good = "HTTP/1.1 200 OK" + rest
	)
	var out []NoAnswer
	for _, line := range noStatusLines {
		out = append(out, NoAnswer{Name: fmt.Sprintf("status line %q", line), wire: line + rest})
	}
	return append(out,
		NoAnswer{Name: "bytes before the status line", wire: "done\r\n" + good},
		NoAnswer{Name: "an empty line before the status line", wire: "\r\n" + good},
		NoAnswer{Name: "a status line without an end", wire: "HTTP/1.1 200 OK", Short: true},
		NoAnswer{Name: "a status line without a status", wire: "HTTP/1.1 200", Short: true},
		NoAnswer{Name: "informational answers only", wire: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n{fields}\r\n", Short: true},
		NoAnswer{Name: "000 behind an informational answer", wire: "HTTP/1.1 102 Processing\r\nX-Note: a\r\n\r\nHTTP/1.1 000 OK" + rest},
		NoAnswer{Name: "HTTP/9.9 behind an informational answer", wire: "HTTP/1.1 103 Early Hints\n\nHTTP/9.9 200 OK" + rest},
		NoAnswer{Name: "101 before an answer", wire: "HTTP/1.1 101 Switching Protocols\r\n{fields}\r\n" + good},
		NoAnswer{
			Name: "101 with an upgrade before an answer",
			wire: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n{fields}\r\n" + good,
		},
	)
}

// Send writes the bytes and returns whether the connection stays open, as it does unless they could still become an answer.
func (a NoAnswer) Send(conn net.Conn, fields string) bool {
	_, _ = io.WriteString(conn, a.Wire(fields))
	if a.Short {
		Closed.End(conn)
	}
	return !a.Short
}
