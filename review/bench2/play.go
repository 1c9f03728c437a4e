package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// play is a small deployment.
type play struct {
	daemon  string
	dir     string
	trouble bool
	record  *record
	store   *store
	hosts   []*host
}

// newPlay returns a deployment without hosts.
func newPlay(daemon, recordPath string, trouble bool) (*play, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &play{daemon: daemon, dir: dir, trouble: trouble, record: r, store: newStore()}, nil
}

// close ends all processes and removes the temporary folder.
func (p *play) close() {
	for _, h := range p.hosts {
		h.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	}
}

// configuration is the operator's.
const configuration = `{"version":"00000007","routes":{
"r-book":{"host":"book.example","prefix":"/book/","type":"non_idempotent","timeout_ms":5000,"target_latency_ms":2000,"priority":1,"service":"reservas","max_attempts":2,"public":false},
"r-browse":{"host":"browse.example","prefix":"/browse/","type":"idempotent","timeout_ms":4000,"target_latency_ms":2000,"priority":2,"service":"catalogo","max_attempts":2,"public":false}},
"services":{"reservas":{"health_path":"/health","max_conns":330,"protocol":"h1","tls":false},"catalogo":{"health_path":"/health","max_conns":330,"protocol":"h1","tls":false}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":{"bozi300":{"api_keys":["key-of-bozi300"],"priority":1,"rate_per_s":0,"burst":0}}}`

// open starts the deployment: two hosts of each service, in two zones.
func (p *play) open(ctx context.Context) error {
	p.store.put("op", "config", []byte(configuration))
	for i, place := range []struct{ name, zone, service string }{
		{"book-1", "trelew", "reservas"},
		{"book-2", "gaiman", "reservas"},
		{"browse-1", "trelew", "catalogo"},
		{"browse-2", "gaiman", "catalogo"},
	} {
		h, err := newHost(p, place.name, fmt.Sprintf("127.0.%d.%d", 30+os.Getpid()%200, i+1), place.zone, place.service)
		if err != nil {
			return err
		}
		p.hosts = append(p.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
		if err := h.upstream.start(ctx); err != nil {
			return err
		}
	}
	for _, h := range p.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// settleTime is how long after the start the daemons know each other.
const settleTime = 4 * time.Second

// host returns a host by its name.
func (p *play) host(name string) *host {
	for _, h := range p.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
