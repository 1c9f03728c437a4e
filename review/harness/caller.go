package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// request is one request of a caller and its answer.
type request struct {
	id, uri, key string
	host         *host
	sent         time.Time
	// status is zero if there was no answer.
	status int
}

// requestCount numbers the requests.
var requestCount atomic.Int64

// callerClient uses a new connection for each request.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one request of a caller on a host and records it.
func (f *fleet) send(h *host, method, site, uri, key string, deadline time.Duration) request {
	out := request{id: fmt.Sprintf("%08x", requestCount.Add(1)), uri: uri, key: key, host: h, sent: time.Now()}
	message := &http.Request{
		Method: method, URL: &url.URL{Scheme: "http", Host: h.outbound, Path: uri}, Host: site,
		Header: http.Header{
			"Attempt-Id": {out.id}, "Deadline-Ms": {strconv.FormatInt(deadline.Milliseconds(), 10)}, "Authorization": {"Bearer " + key},
		},
	}
	f.record.note("request %s %s %s with key %s sent to %s", out.id, method, uri, key, h.name)
	if response, err := callerClient.Do(message.WithContext(f.ctx)); err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			out.status = response.StatusCode
		}
	}
	f.record.note("request %s answered with %d", out.id, out.status)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, out)
	return out
}

// load sends requests of callers on a host at a rate until a time after the start of the record.
func (f *fleet) load(h *host, perSecond, until float64, method, site, uri, key string) {
	f.callers.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		end := f.record.start.Add(time.Duration(until * float64(time.Second)))
		for f.ctx.Err() == nil && time.Now().Before(end) {
			f.callers.Go(func() { f.send(h, method, site, uri, key, callerDeadline) })
			<-ticker.C
		}
	})
}

// callerDeadline is how long callers wait.
const callerDeadline = 4 * time.Second

// allRequests returns the answered requests.
func (f *fleet) allRequests() []request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]request(nil), f.requests...)
}

// awaitCallers waits until all requests that were sent are answered or given up.
func (f *fleet) awaitCallers() {
	f.callers.Wait()
}
