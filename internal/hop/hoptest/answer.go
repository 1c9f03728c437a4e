package hoptest

import (
	"net/http"
	"strings"
)

// Answer is an answer of a target in its wire form.
type Answer struct {
	Name   string
	Method string
	Status int
	// Head is the head, in which {fields} stands for the header lines that the test adds. Body is what follows it.
	Head string
	Body string
	// Text is the body without its framing.
	Text string
	// Open says that the answer has no length and ends with its connection.
	Open bool
}

// Answers are answers of all framings.
var Answers = []Answer{
	{
		Name: "with a length", Method: http.MethodGet, Status: http.StatusOK, Text: "0123456789ab",
		Head: "HTTP/1.1 200 OK\r\n{fields}Content-Length: 12\r\nX-Note: a\r\n b\r\n\r\n", Body: "0123456789ab",
	},
	{
		Name: "without a body", Method: http.MethodGet, Status: http.StatusOK,
		Head: "HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n",
	},
	{
		Name: "in chunks", Method: http.MethodGet, Status: http.StatusOK, Text: "0123456789abcdef!",
		Head: "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n", Body: "10\r\n0123456789abcdef\r\n1\r\n!\r\n0\r\n\r\n",
	},
	{
		Name: "in chunks with an extension and a trailer", Method: http.MethodGet, Status: http.StatusOK, Text: "done",
		Head: "HTTP/1.1 200 OK\r\n{fields}Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", Body: "4;a=b\r\ndone\r\n0;c\r\nX-Sum: 1\r\n\r\n",
	},
	{
		Name: "without a length", Method: http.MethodGet, Status: http.StatusOK, Text: "done", Open: true,
		Head: "HTTP/1.1 200 OK\r\n{fields}X-Note: a\r\n\r\n", Body: "done",
	},
	{
		Name: "of HTTP/1.0", Method: http.MethodGet, Status: http.StatusOK, Text: "done", Open: true,
		Head: "HTTP/1.0 200 OK\r\n{fields}\r\n", Body: "done",
	},
	{
		Name: "behind informational ones", Method: http.MethodGet, Status: http.StatusOK, Text: "done",
		Head: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n{fields}\r\n" +
			"HTTP/1.1 200 OK\r\n{fields}Content-Length: 4\r\n\r\n", Body: "done",
	},
	{
		Name: "with bare line feeds", Method: http.MethodGet, Status: http.StatusOK, Text: "done",
		Head: "HTTP/1.1 200 OK\n{fields}Content-Length: 4\n\n", Body: "done",
	},
	{
		Name: "to HEAD", Method: http.MethodHead, Status: http.StatusOK,
		Head: "HTTP/1.1 200 OK\r\n{fields}Content-Length: 12\r\n\r\n",
	},
	{
		Name: "to HEAD without a length", Method: http.MethodHead, Status: http.StatusOK,
		Head: "HTTP/1.1 200 OK\r\n{fields}\r\n",
	},
	{
		Name: "of status 204", Method: http.MethodGet, Status: http.StatusNoContent,
		Head: "HTTP/1.1 204 No Content\r\n{fields}\r\n",
	},
	{
		Name: "of status 304", Method: http.MethodGet, Status: http.StatusNotModified,
		Head: "HTTP/1.1 304 Not Modified\r\n{fields}Content-Length: 12\r\n\r\n",
	},
}

// LongText is longer than what a daemon holds of a body before it passes it on.
var LongText = strings.Repeat("0123456789abcdef", 12<<10)

// LongAnswers are answers that are streamed.
var LongAnswers = []Answer{
	{
		Name: "long, with a length", Method: http.MethodGet, Status: http.StatusOK, Text: LongText,
		Head: "HTTP/1.1 200 OK\r\n{fields}Content-Length: 196608\r\n\r\n", Body: LongText,
	},
	{
		Name: "long, in chunks", Method: http.MethodGet, Status: http.StatusOK, Text: LongText,
		Head: "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n",
		Body: strings.Repeat("4000\r\n"+LongText[:16<<10]+"\r\n", 12) + "0\r\n\r\n",
	},
	{
		Name: "long, without a length", Method: http.MethodGet, Status: http.StatusOK, Text: LongText, Open: true,
		Head: "HTTP/1.1 200 OK\r\n{fields}\r\n", Body: LongText,
	},
}

// AllAnswers returns the short and the long answers.
func AllAnswers() []Answer {
	return append(append([]Answer(nil), Answers...), LongAnswers...)
}

// Relayed returns one answer for each form in which a daemon passes answers on.
func Relayed() []Answer {
	var out []Answer
	for _, a := range AllAnswers() {
		switch a.Name {
		case "without a body", "of HTTP/1.0", "behind informational ones", "with bare line feeds", "in chunks with an extension and a trailer":
		default:
			out = append(out, a)
		}
	}
	return out
}

// Wire returns the head and the whole answer with the test's header lines, each of which ends with \r\n.
func (a Answer) Wire(fields string) (head, whole string) {
	head = strings.ReplaceAll(a.Head, "{fields}", fields)
	return head, head + a.Body
}

// Complete reports whether the answer is whole when its connection ends after the first n bytes. Where an answer without a
// length is cut off in its body by a close, nothing tells that from its end.
func (a Answer) Complete(fields string, n int, ending Ending) bool {
	head, whole := a.Wire(fields)
	if a.Open {
		return n >= len(head) && ending != Reset
	}
	return n == len(whole)
}

// Cuts returns the numbers of bytes after which to cut an answer: all in the head and the short body, and some in a long
// one, of which each edge of its framing.
func (a Answer) Cuts(fields string) []int {
	const everyByteUpTo = 512
	head, whole := a.Wire(fields)
	var cuts []int
	for n := range len(whole) + 1 {
		fromEnd := len(whole) - n
		if n <= len(head)+16 || len(whole) <= everyByteUpTo || fromEnd < 8 || n%(24<<10) == 0 {
			cuts = append(cuts, n)
		}
	}
	return cuts
}
