package e2e_test

import (
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/measuring/loopback"
)

// ports hands out free loopback ports.
type ports struct {
	*loopback.Ports
}

// newPorts starts at a port that differs between test processes.
func newPorts() *ports {
	return &ports{loopback.NewPorts()}
}

// address returns a free loopback address.
func (p *ports) address() string {
	address, err := p.Address()
	Expect(err).NotTo(HaveOccurred())
	return address
}
