package crowd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	store "buckthornlatch.example/buckthornlatch/internal/platform"
	"buckthornlatch.example/buckthornlatch/platform/standin"
)

const (
	// memoryMB and maxFiles are limits.memory_mb and limits.max_fds in the settings of the process.
	memoryMB, maxFiles = 96, 1200
	// maxBody, maxHeader, headerTimeout and idleTimeout are the operator's limits. The times are shorter than usual, so that a
	// spec does not last long.
	maxBody, maxHeader         = 64 << 20, 16 << 10
	headerTimeout, idleTimeout = time.Second, 5 * time.Second
	// host and key are those of ordinary requests.
	host, key = "walks.example", "key-good"
	// longAnswer is the length of the answers to paths with longMark.
	longAnswer = 4 << 20
	longMark   = "long"
)

// mesh is a daemon beside a target.
type mesh struct {
	*process
	callers, peers, ready, heartbeats string
}

// requests numbers the requests, to make their ids unique.
var requests atomic.Uint64

// startMesh starts a store, a target and the daemon, and waits until a request is served.
func startMesh() *mesh {
	dir := tempDir()
	rows := standin.NewStore()
	server := httptest.NewServer(rows)
	DeferCleanup(server.Close)
	_, err := rows.Commit(httptest.NewRequest(http.MethodPost, "/", nil), store.Txn{Puts: []store.Put{{Key: "op/config", Value: policy()}}})
	Expect(err).NotTo(HaveOccurred())
	m := &mesh{callers: freeAddress(), peers: freeAddress(), ready: freeAddress(), heartbeats: freeAddress()}
	target := startTarget(m.heartbeats)
	metrics := freeAddress()
	_, port, _ := net.SplitHostPort(metrics)
	settings := filepath.Join(dir, "node.conf")
	Expect(os.WriteFile(settings, []byte(strings.Join([]string{
		"node_name=one", "zone=north", "service=walks", "app_addr=" + target, "ip=127.0.0.1", "listen_addrs.outbound=" + m.callers,
		"listen_addrs.inbound=" + m.peers, "listen_addrs.ready=" + m.ready, "listen_addrs.control_plane=" + m.heartbeats,
		"internal_ports=" + port + "," + port, "platform.address=" + strings.TrimPrefix(server.URL, "http://"),
		"bounds.grace_s=3", "bounds.retry_budget_ratio=0.2", "bounds.retry_slack=60", "bounds.budget_window_s=10",
		fmt.Sprintf("limits.memory_mb=%d", memoryMB), fmt.Sprintf("limits.max_fds=%d", maxFiles), "",
	}, "\n")), 0o600)).To(Succeed())
	m.process = startProcess(dir, "mesh", []string{"BUCKTHORNLATCH_SETTINGS=" + settings}, "mesh")
	Eventually(m.ordinary, "20s", "100ms").Should(Equal(http.StatusOK))
	return m
}

// policy returns the operator's configuration.
func policy() []byte {
	routes := map[string]any{}
	for kind, prefix := range map[string]string{"idempotent": "/walks/", "upload": "/photos/"} {
		routes[kind] = map[string]any{
			"host": host, "prefix": prefix, "type": kind, "timeout_ms": 4000, "target_latency_ms": 1000, "priority": 1,
			"service": "walks", "max_attempts": 2,
		}
	}
	raw, err := json.Marshal(map[string]any{
		"version": "00000001", "routes": routes, "services": map[string]any{"walks": map[string]any{}},
		"tenants": map[string]any{"school": map[string]any{"api_keys": []string{key}}},
		"limits": map[string]any{
			"max_body_bytes": maxBody, "max_header_bytes": maxHeader, "header_timeout_ms": headerTimeout.Milliseconds(),
			"idle_timeout_ms": idleTimeout.Milliseconds(),
		},
	})
	Expect(err).NotTo(HaveOccurred())
	return raw
}

// startTarget starts a target that gives a long answer where a path asks for one. It returns its address.
func startTarget(heartbeats string) string {
	target := standin.NewTarget("walks", freeAddress(), heartbeats, 4, 5*time.Millisecond, func(*http.Request) string { return "" })
	Expect(target.Start()).To(Succeed())
	DeferCleanup(target.Crash)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go target.SendHeartbeats(ctx)
	before := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, longMark) {
			target.ServeHTTP(w, r)
			return
		}
		body := strings.Repeat("x", longAnswer)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", standin.Seal(body))
		_, _ = io.WriteString(w, body)
	}))
	DeferCleanup(before.Close)
	return strings.TrimPrefix(before.URL, "http://")
}

// head returns the head of a request without its last line.
func head(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nAttempt-Id: crowd-%d\r\n", method, path, host, key, requests.Add(1))
}

// ordinary sends an ordinary request and returns its status, zero without an answer.
func (m *mesh) ordinary() int {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.callers+"/walks/one", nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Attempt-Id", fmt.Sprintf("ordinary-%d", requests.Add(1)))
	return status(r)
}

// isReady returns the status of a readiness probe, zero without an answer.
func (m *mesh) isReady() int {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.ready+"/api/ready", nil)
	Expect(err).NotTo(HaveOccurred())
	return status(r)
}

// status sends a request on a connection of its own and returns the status, zero without an answer.
func status(r *http.Request) int {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
