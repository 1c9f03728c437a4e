package e2e_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/measuring/faultproxy"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// announcer passes a target's announcements on to its gate with the address
// of a fault proxy in the place of the target's own.
type announcer struct {
	server *httptest.Server
	local  string

	mu      sync.Mutex
	proxies map[string]*faultproxy.Proxy
}

// newAnnouncer returns a running announcer; local is the gate's address for announcements.
func newAnnouncer(local string) *announcer {
	a := &announcer{local: local, proxies: make(map[string]*faultproxy.Proxy)}
	a.server = httptest.NewServer(a)
	return a
}

// ServeHTTP implements http.Handler.
func (a *announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var announcement targetapi.Announcement
	if err := json.NewDecoder(r.Body).Decode(&announcement); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	proxy, err := a.proxy(announcement.Address)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	announcement.Address = proxy.Addr()
	body, _ := json.Marshal(announcement)
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+a.local+r.URL.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	_ = response.Body.Close()
	w.Header().Set(targetapi.HeaderGate, response.Header.Get(targetapi.HeaderGate))
	w.WriteHeader(response.StatusCode)
}

// proxy returns the proxy before a target's address.
func (a *announcer) proxy(address string) (*faultproxy.Proxy, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known := a.proxies[address]; known != nil {
		return known, nil
	}
	proxy, err := faultproxy.New(address)
	if err == nil {
		a.proxies[address] = proxy
	}
	return proxy, err
}

// each calls f with every proxy.
func (a *announcer) each(f func(*faultproxy.Proxy)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, proxy := range a.proxies {
		f(proxy)
	}
}

// close ends the announcer and its proxies.
func (a *announcer) close() {
	a.server.Close()
	a.each((*faultproxy.Proxy).Close)
}
