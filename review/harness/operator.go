package main

import (
	"fmt"
	"time"
)

// route returns a route of the operator's configuration.
func route(site, prefix, service, kind string) map[string]any {
	return map[string]any{
		"host": site, "prefix": prefix, "type": kind, "timeout_ms": 4000, "target_latency_ms": 2000, "priority": 1,
		"service": service, "max_attempts": 2, "public": false,
	}
}

// tenant returns a tenant of the operator's configuration.
func tenant(ratePerSecond float64, burst int, keys ...string) map[string]any {
	return map[string]any{"api_keys": keys, "priority": 1, "rate_per_s": ratePerSecond, "burst": burst}
}

// configure writes a version of the configuration and returns when it was acknowledged.
func (f *fleet) configure(version int, services []string, routes, tenants map[string]any) (time.Time, error) {
	described := map[string]any{}
	for _, s := range services {
		described[s] = map[string]any{"health_path": "/health", "max_conns": 330, "protocol": "h1", "tls": false}
	}
	acked, err := f.store.putConfig(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": described, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.record.note("configuration %08x written and acknowledged", version)
	return acked, err
}
