package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/devcerts"
)

// Devcerts writes TLS files for development.
type Devcerts struct {
	Dir       string        `arg:"positional,required" placeholder:"DIR" help:"directory for ca.pem, cert.pem and key.pem; existing files are replaced"`
	Addresses []net.IP      `arg:"--address,separate" placeholder:"IP" help:"address that callers use; default 127.0.0.1"`
	PeerName  string        `arg:"--peer-name" default:"buckthornlatch-peer" help:"the daemons' tls.peer_name"`
	Lifetime  time.Duration `arg:"--lifetime" default:"720h" help:"time until the certificates expire"`
}

// Run writes the files.
func (c *Devcerts) Run(_ context.Context, stdout io.Writer) error {
	if err := checkFlags(flagRule{"--lifetime", c.Lifetime > 0, aboveZero}); err != nil {
		return err
	}
	addresses := c.Addresses
	if len(addresses) == 0 {
		addresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	}
	err := devcerts.Create(c.Dir, devcerts.Options{PeerName: c.PeerName, Addresses: addresses, Lifetime: c.Lifetime})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "devcerts: wrote %s, %s and %s to %s\n",
		devcerts.CAFile, devcerts.CertificateFile, devcerts.KeyFile, c.Dir)
	return err
}
