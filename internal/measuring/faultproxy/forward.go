package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// forward connects a link to the server and copies both directions until the link ends.
func (p *Proxy) forward(l *link) {
	defer p.wait.Done()
	defer p.remove(l)
	defer l.close()
	// The connection request travels in the held direction too.
	if !p.pass(l, toServer) {
		return
	}
	server, err := net.DialTimeout("tcp", p.server, dialTimeout)
	if err != nil || !l.connected(server) {
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		p.pump(l, toServer, server, l.client)
	}()
	go func() {
		defer both.Done()
		p.pump(l, toClient, l.client, server)
	}()
	both.Wait()
}

// pump copies one direction. The end of the stream is passed on as a
// half-close, a failure ends the link, a reset with a reset.
func (p *Proxy) pump(l *link, d direction, to, from net.Conn) {
	piece := make([]byte, pieceBytes)
	for {
		n, readErr := from.Read(piece)
		if !p.pass(l, d) {
			return
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				l.close()
				return
			}
		}
		if readErr != nil {
			p.end(l, to, readErr)
			return
		}
	}
}

// end passes the end of one direction on.
func (p *Proxy) end(l *link, to net.Conn, readErr error) {
	half, ok := to.(*net.TCPConn)
	switch {
	case ok && errors.Is(readErr, io.EOF):
		_ = half.CloseWrite()
		return
	case ok && errors.Is(readErr, syscall.ECONNRESET):
		// An answer without a length must not seem complete.
		_ = half.SetLinger(0)
	}
	l.close()
}

// pass waits until a direction may carry a piece; it reports false when the link ended first.
func (p *Proxy) pass(l *link, d direction) bool {
	for {
		p.mu.Lock()
		faults, changed := p.faults, p.changed
		p.mu.Unlock()
		switch {
		case l.silenced():
			<-l.done
			return false
		case !faults.holds(d):
			return delay(l, faults.Delay)
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// delay sleeps; it reports false when the link ended first.
func delay(l *link, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}
