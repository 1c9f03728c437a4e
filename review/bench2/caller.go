package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// caller is the clients of one host.
type caller struct {
	play   *play
	host   *host
	client *http.Client

	mu     sync.Mutex
	number int
	sent   map[string]time.Time
}

func newCaller(p *play, h *host) *caller {
	return &caller{play: p, host: h, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, sent: map[string]time.Time{}}
}

// book sends one booking and returns its id and the status of the answer, zero without one.
func (c *caller) book(ctx context.Context) (id string, status int) {
	c.mu.Lock()
	c.number++
	id = fmt.Sprintf("%s-%04d", c.host.name, c.number)
	c.sent[id] = time.Now()
	c.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.host.ports["outbound"]+"/book/place", strings.NewReader("one place"))
	if err != nil {
		return id, 0
	}
	request.Host = "book.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "5000")
	request.Header.Set("Authorization", "Bearer key-of-bozi300")
	c.play.record.note("send     %s", id)
	response, err := c.client.Do(request)
	if err != nil {
		c.play.record.note("answer   %s: %v", id, err)
		return id, 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.play.record.note("answer   %s: %d %q %v", id, response.StatusCode, body, err)
	return id, response.StatusCode
}

// bookFor sends bookings at an interval for some time and waits for their answers.
func (c *caller) bookFor(ctx context.Context, interval, lasting time.Duration) {
	var group sync.WaitGroup
	for end := time.Now().Add(lasting); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(interval) {
		group.Go(func() { c.book(ctx) })
	}
	group.Wait()
}

// sentAt returns when a request was sent.
func (c *caller) sentAt(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, known := c.sent[id]
	return at, known
}
