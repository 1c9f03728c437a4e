package e2e_test

import (
	"net"
	"os"
	"strconv"

	. "github.com/onsi/gomega"
)

const (
	// firstPort and lastPort bound the ports of the fleet. They lie below the
	// range of outgoing connections, so that no connection takes the port of
	// a daemon between its end and its next start.
	firstPort = 10000
	lastPort  = 30000
)

// ports hands out free loopback ports.
type ports struct {
	next int
}

// newPorts starts at a port that differs between test processes.
func newPorts() *ports {
	return &ports{next: firstPort + os.Getpid()*61%(lastPort-firstPort)}
}

// address returns a free loopback address.
func (p *ports) address() string {
	for range lastPort - firstPort {
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			Expect(listener.Close()).To(Succeed())
			return address
		}
	}
	Expect(false).To(BeTrue(), "no free port")
	return ""
}
