package faultproxy

import (
	"net"
	"sync"
)

// link is one forwarded connection.
type link struct {
	client net.Conn
	// done is closed when the link ends.
	done chan struct{}
	once sync.Once

	mu     sync.Mutex
	server net.Conn
	silent bool
}

// newLink returns the link of an accepted connection.
func newLink(client net.Conn) *link {
	return &link{client: client, done: make(chan struct{})}
}

// connected notes the connection to the server; it reports false when the link has ended.
func (l *link) connected(server net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
		_ = server.Close()
		return false
	default:
		l.server = server
		return true
	}
}

// silence stops both directions for good.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

// silenced reports whether the link was silenced.
func (l *link) silenced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// close ends the link and closes both connections.
func (l *link) close() {
	l.once.Do(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		close(l.done)
		_ = l.client.Close()
		if l.server != nil {
			_ = l.server.Close()
		}
	})
}
