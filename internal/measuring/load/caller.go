package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

const (
	// ticketPath is the ticket endpoint of every daemon.
	ticketPath = "/.buckthornlatch/v1/tickets"
	// maxSmallAnswerBytes bounds the part of an answer that is kept for the check.
	maxSmallAnswerBytes = 4 << 10
)

// ticketAnswer is the body of the ticket endpoint's answer.
type ticketAnswer struct {
	Tickets []string `json:"tickets"`
}

// caller sends one customer's requests.
type caller struct {
	client  *http.Client
	key     string
	timeout time.Duration
}

// answer is what one send brought back.
type answer struct {
	outcome    Outcome
	code       string
	target     string
	mismatched bool
}

// ticket asks a daemon for one ticket.
func (c *caller) ticket(ctx context.Context, daemon string) (string, answer) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, daemon+ticketPath, nil)
	if err != nil {
		return "", answer{outcome: RefusedNotRun, code: "caller"}
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return "", answer{outcome: RefusedNotRun, code: connectFailed}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusCreated {
		refusal, _ := readProblem(response)
		return "", answer{outcome: RefusedNotRun, code: string(refusal.Code)}
	}
	var got ticketAnswer
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil || len(got.Tickets) == 0 {
		return "", answer{outcome: RefusedNotRun, code: "ticket-answer"}
	}
	return got.Tickets[0], answer{}
}

// send makes one send of a request.
func (c *caller) send(ctx context.Context, daemon string, op Operation, requestID, ticket string) answer {
	request, err := http.NewRequestWithContext(ctx, op.Method, daemon+op.Path, body(op))
	if err != nil {
		return answer{outcome: RefusedNotRun, code: "caller"}
	}
	request.Host = op.Host
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set(target.RequestIDHeader, requestID)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	if ticket != "" {
		request.Header.Set("Idempotency-Key", ticket)
	}
	if op.AnswerBytes > 0 {
		request.Header.Set(target.AnswerBytesHeader, strconv.Itoa(op.AnswerBytes))
	}
	response, err := c.client.Do(request)
	if err != nil {
		if isDialFailure(err) {
			return answer{outcome: RefusedNotRun, code: connectFailed}
		}
		return answer{outcome: Unknown, code: transportCode(err)}
	}
	defer func() { _ = response.Body.Close() }()
	return judge(response, op, requestID)
}

// judge turns a response into an answer.
func judge(response *http.Response, op Operation, requestID string) answer {
	if refusal, ok := readProblem(response); ok {
		outcome := Unknown
		if refusal.Run == problem.NotRun {
			outcome = RefusedNotRun
		}
		return answer{outcome: outcome, code: string(refusal.Code)}
	}
	kept, size, err := drain(response.Body)
	if err != nil {
		return answer{outcome: Unknown, code: "truncated"}
	}
	got := answer{outcome: Served, target: response.Header.Get("X-Target")}
	if response.StatusCode >= http.StatusInternalServerError {
		got.outcome = TargetError
		return got
	}
	if op.AnswerBytes > 0 {
		got.mismatched = size != int64(op.AnswerBytes)
	} else {
		got.mismatched = strings.TrimSpace(string(kept)) != requestID
	}
	return got
}

// drain reads a body to its end and keeps the first bytes.
func drain(body io.Reader) (kept []byte, size int64, err error) {
	kept, err = io.ReadAll(io.LimitReader(body, maxSmallAnswerBytes))
	if err != nil {
		return kept, int64(len(kept)), err
	}
	rest, err := io.Copy(io.Discard, body)
	return kept, int64(len(kept)) + rest, err
}

// readProblem decodes a refusal; ok is false when the response is none.
func readProblem(response *http.Response) (problem.Details, bool) {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		return problem.Details{}, false
	}
	var details problem.Details
	if err := json.NewDecoder(response.Body).Decode(&details); err != nil {
		return problem.Details{Run: problem.Unknown}, true
	}
	return details, true
}

// body returns the request body of an operation; nil when it has none.
func body(op Operation) io.Reader {
	if op.BodyBytes == 0 {
		return nil
	}
	return bytes.NewReader(make([]byte, op.BodyBytes))
}

// connectFailed is the code of a send for which no connection was made; the next daemon is tried.
const connectFailed = "connect-failed"

// isDialFailure reports whether no connection was made, so that nothing was sent.
func isDialFailure(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// transportCode names a transport failure in the report.
func transportCode(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "caller-timeout"
	}
	return "transport"
}
