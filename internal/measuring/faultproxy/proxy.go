package faultproxy

import (
	"net"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
)

const (
	// pieceBytes is the size of one forwarded piece.
	pieceBytes = 32 << 10
	// dialTimeout bounds the connection to the server.
	dialTimeout = 5 * time.Second
)

// Proxy forwards TCP connections to one server. It is safe for concurrent use.
type Proxy struct {
	server   string
	listener net.Listener
	wait     sync.WaitGroup

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
	links   map[*link]struct{}
	closed  bool
}

// New returns a running proxy on a free loopback port. The server is an
// address, ip:port; it is dialled once per connection.
func New(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.New("listen", "", err)
	}
	p := &Proxy{
		server:   server,
		listener: listener,
		changed:  make(chan struct{}),
		links:    make(map[*link]struct{}),
	}
	p.wait.Add(1)
	go p.accept()
	return p, nil
}

// Addr returns the address for clients, ip:port.
func (p *Proxy) Addr() string {
	return p.listener.Addr().String()
}

// Set replaces the faults, for open and new connections.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Silence lets every open connection go silent for good. New connections work.
func (p *Proxy) Silence() {
	for _, l := range p.open() {
		l.silence()
	}
}

// Break closes every open connection.
func (p *Proxy) Break() {
	for _, l := range p.open() {
		l.close()
	}
}

// Close stops the proxy and breaks its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Break()
	p.wait.Wait()
}

// open returns the links that have not ended.
func (p *Proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

// add keeps a link; it reports false when the proxy is closed or refuses.
func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.faults.Refuse {
		return false
	}
	p.links[l] = struct{}{}
	return true
}

// remove forgets a link.
func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// accept takes connections until the proxy is closed.
func (p *Proxy) accept() {
	defer p.wait.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		l := newLink(client)
		if !p.add(l) {
			l.close()
			continue
		}
		p.wait.Add(1)
		go p.forward(l)
	}
}
