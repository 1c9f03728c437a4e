package hoptest

import (
	"io"
	"net"
	"sync"
)

// Proxy passes connections on to a process and breaks one off in an answer, as the end of the process or its host does.
type Proxy struct {
	listener net.Listener
	to       string

	mu sync.Mutex
	// armed says that the connection that carries the answer's bytes is to end after left more of them.
	armed  bool
	left   int
	ending Ending
}

// NewProxy starts a proxy. It ends when Close is called.
func NewProxy(to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, to: to}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

// Address returns the address to which to connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the listener.
func (p *Proxy) Close() error { return p.listener.Close() }

// CutAfter breaks the next answer off after n bytes.
func (p *Proxy) CutAfter(n int, ending Ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed, p.left, p.ending = true, n, ending
}

// Disarm lets all further answers pass and reports whether the last cut was made.
func (p *Proxy) Disarm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	cut := !p.armed
	p.armed = false
	return cut
}

// pass copies both directions.
func (p *Proxy) pass(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	process, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	// A reset leaves no port in use, of which tests with thousands of connections would run out.
	_ = process.(*net.TCPConn).SetLinger(0)
	defer func() { _ = process.Close() }()
	go func() {
		_, _ = io.Copy(process, conn)
		_ = process.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := process.Read(buffer)
		allowed, cut, ending := p.take(n)
		if _, writeErr := conn.Write(buffer[:allowed]); writeErr != nil || (err != nil && !cut) {
			return
		}
		if cut {
			_ = process.Close()
			ending.End(conn)
			return
		}
	}
}

// take returns how many of n bytes may pass and whether the connection ends then. A cut is made when an answer begins.
func (p *Proxy) take(n int) (allowed int, cut bool, ending Ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.armed || n == 0 {
		return n, false, 0
	}
	if n < p.left {
		p.left -= n
		return n, false, 0
	}
	p.armed = false
	return p.left, true, p.ending
}
