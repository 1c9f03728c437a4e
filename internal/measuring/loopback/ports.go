// Package loopback hands out addresses on loopback for processes that tests start and restart.
package loopback

import (
	"errors"
	"net"
	"os"
	"strconv"
)

const (
	// firstPort and lastPort bound the ports. They lie below the range of outgoing connections, so that no connection
	// takes the port of a process between its end and its next start.
	firstPort = 10000
	lastPort  = 30000
	// processStride spreads the first ports of test processes that run at the same time.
	processStride = 61
)

// Ports hands out free addresses. It is not safe for concurrent use.
type Ports struct {
	next int
}

// NewPorts starts at a port that differs between test processes.
func NewPorts() *Ports {
	return &Ports{next: firstPort + os.Getpid()*processStride%(lastPort-firstPort)}
}

// ErrNoPort reports that all ports are in use.
var ErrNoPort = errors.New("no free port on loopback")

// Address returns an address that nothing listens at.
func (p *Ports) Address() (string, error) {
	for range lastPort - firstPort {
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", ErrNoPort
}
