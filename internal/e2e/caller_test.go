package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/emulator/target"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// reply is the answer to one request.
type reply struct {
	// err is a transport failure; the other fields are empty then.
	err     error
	status  int
	refusal problem.Details
	body    string
}

// String implements fmt.Stringer.
func (r reply) String() string {
	return fmt.Sprintf("status %d, code %q, run %q, send %q, error %v", r.status, r.refusal.Code, r.refusal.Run, r.refusal.Send, r.err)
}

// served reports whether the answer is the target's.
func (r reply) served() bool {
	return r.err == nil && r.status == http.StatusOK
}

// caller sends requests one by one over its own connections.
type caller struct {
	key    string
	client *http.Client
	// dials counts the connections that were opened.
	dials atomic.Int64
}

// newCaller returns a caller whose requests end after a time.
func newCaller(key string, timeout time.Duration) *caller {
	c := &caller{key: key}
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c.dials.Add(1)
		return dialer.DialContext(ctx, network, address)
	}}
	c.client = &http.Client{Transport: transport, Timeout: timeout}
	DeferCleanup(transport.CloseIdleConnections)
	return c
}

// send makes one request and reads its whole answer.
func (c *caller) send(method, url, requestID, ticket string, body []byte) reply {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set(target.RequestIDHeader, requestID)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(c.client.Timeout.Milliseconds(), 10))
	if ticket != "" {
		request.Header.Set("Idempotency-Key", ticket)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	r := reply{err: err, status: response.StatusCode, body: strings.TrimSpace(string(text))}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		_ = json.Unmarshal(text, &r.refusal)
	}
	return r
}

// get makes a look-up.
func (c *caller) get(h *host) reply {
	return c.send(http.MethodGet, h.url()+"/walks/3", "", "", nil)
}

// book makes a booking; the same request id and ticket make the same request.
func (c *caller) book(h *host, requestID, ticket string) reply {
	return c.send(http.MethodPost, h.url()+"/bookings", requestID, ticket, []byte(requestID))
}

// tickets takes tickets from a host.
func (c *caller) tickets(h *host, count int) []string {
	GinkgoHelper()
	r := c.send(http.MethodPost, h.url()+"/.buckthornlatch/v1/tickets?count="+strconv.Itoa(count), "", "", nil)
	Expect(r.served()).To(BeTrue(), "%v", r)
	var issued struct {
		Tickets []string `json:"tickets"`
	}
	Expect(json.Unmarshal([]byte(r.body), &issued)).To(Succeed())
	Expect(issued.Tickets).To(HaveLen(count))
	return issued.Tickets
}
