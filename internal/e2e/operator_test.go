package e2e_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os/exec"
	"regexp"
	"time"

	. "github.com/onsi/gomega"
)

// commandTimeout bounds one command, with its resends after lost responses.
const commandTimeout = 60 * time.Second

var (
	keyPattern      = regexp.MustCompile(`(?m)^key: (\S+)$`)
	keyIDPattern    = regexp.MustCompile(`(?m)^key id: (\S+)$`)
	revisionPattern = regexp.MustCompile(`accepted (?:before )?as revision (\d+)`)
)

// operator is a user of the command line.
type operator struct {
	name, token, tokenFile string
}

// hash is the hash of the token as the settings have it.
func (o operator) hash() string {
	sum := sha256.Sum256([]byte(o.token))
	return hex.EncodeToString(sum[:])
}

// issuedKey is a caller's key.
type issuedKey struct {
	id, secret string
}

// command runs a subcommand of the binary against a host's administration API.
func (f *fleet) command(o operator, h *host, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	args = append(args, "--admin", "http://"+h.admin, "--token-file", o.tokenFile)
	cmd := exec.CommandContext(ctx, f.binary, args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return stdout.String(), fmt.Errorf("%v: %w: %s", args[:2], err, stderr.String())
	}
	return stdout.String(), nil
}

// issueKey issues a key to a customer through the first host.
func (f *fleet) issueKey(customer string) issuedKey {
	out, err := f.command(f.operators[0], f.hosts[0], "key", "issue", "--customer", customer, "--why", "test")
	Expect(err).NotTo(HaveOccurred())
	secret, public := keyPattern.FindStringSubmatch(out), keyIDPattern.FindStringSubmatch(out)
	Expect(secret).NotTo(BeNil(), out)
	Expect(public).NotTo(BeNil(), out)
	return issuedKey{id: public[1], secret: secret[1]}
}

// apply applies a catalogue file through a host.
func (f *fleet) apply(o operator, h *host, file string, more ...string) (string, error) {
	return f.command(o, h, append([]string{"catalogue", "apply", file, "--why", "test"}, more...)...)
}
