package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/tomlfile"
)

// tokenHashBytes is the length of a SHA-256 hash.
const tokenHashBytes = 32

// checker collects the semantic errors of decoded settings.
type checker struct {
	file      string
	positions tomlfile.Positions
	faults    tomlfile.Faults
}

// fail records a fault unless the key already has one.
func (c *checker) fail(key, format string, args ...any) {
	for _, f := range c.faults {
		if f.Key == key {
			return
		}
	}
	c.faults = append(c.faults, tomlfile.Fault{
		File:   c.file,
		Line:   c.positions.Line(key),
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	})
}

// all runs every check.
func (c *checker) all(s Settings) {
	c.required("host.name", s.Host.Name)
	c.required("host.failure_domain", s.Host.FailureDomain)
	c.address("listen.caller", s.Listen.Caller)
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.admin", s.Listen.Admin)
	c.loopback("listen.local", s.Listen.Local)
	c.baseURL("platform.address", s.Platform.Address)
	for i, seed := range s.Peers.Seeds {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	c.durations(s)
	c.numbers(s)
	c.tls(s.TLS)
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil || s.Log.Level == "" {
		c.fail("log.level", "%q is not one of debug, info, warn, error", s.Log.Level)
	}
	for i, operator := range s.Operators {
		c.operator(fmt.Sprintf("operators[%d]", i), operator)
	}
}

// durations checks every duration setting.
func (c *checker) durations(s Settings) {
	c.positive("platform.timeout", s.Platform.Timeout)
	c.positive("platform.poll_interval", s.Platform.PollInterval)
	c.positive("peers.timeout", s.Peers.Timeout)
	c.positive("peers.gossip_interval", s.Peers.GossipInterval)
	c.positive("timeouts.read_header", s.Timeouts.ReadHeader)
	c.positive("timeouts.idle", s.Timeouts.Idle)
	c.positive("timeouts.drain", s.Timeouts.Drain)
	c.positive("tickets.window", s.Tickets.Window)
	if s.Timeouts.DrainGrace < 0 {
		c.fail("timeouts.drain_grace", "must not be negative")
	}
}

// numbers checks every plain number.
func (c *checker) numbers(s Settings) {
	c.atLeastOne("limits.max_header_bytes", int64(s.Limits.MaxHeaderBytes))
	c.atLeastOne("limits.gc_percent", int64(s.Limits.GCPercent))
	c.atLeastOne("limits.memory_mb", int64(s.Limits.MemoryMB))
	c.atLeastOne("limits.max_files", int64(s.Limits.MaxFiles))
	c.atLeastOne("limits.max_answer_bytes", int64(s.Limits.MaxResponseBytes))
	c.atLeastOne("tickets.max_claims", int64(s.Tickets.MaxClaims))
	c.atLeastOne("tickets.max_stored_bytes", s.Tickets.MaxStoredBytes)
	if f := s.Limits.RetryFraction; f < 0 || f > 1 {
		c.fail("limits.retry_fraction", "must be between 0 and 1, found %g", f)
	}
	if s.Platform.ClaimCommitsPerSecond <= 0 {
		c.fail("platform.claim_commits_per_second", "must be above 0")
	}
}

// tls requires all TLS settings when any TLS file is set.
func (c *checker) tls(t TLS) {
	if !t.Enabled() {
		return
	}
	c.required("tls.cert_file", t.CertFile)
	c.required("tls.key_file", t.KeyFile)
	c.required("tls.peer_ca_file", t.PeerCAFile)
	c.required("tls.peer_name", t.PeerName)
}

// operator checks one operator's credential.
func (c *checker) operator(key string, o Operator) {
	c.required(key+".name", o.Name)
	if raw, err := hex.DecodeString(o.TokenHash); err != nil || len(raw) != tokenHashBytes {
		c.fail(key+".token_hash", "expected 64 hexadecimal digits of a SHA-256 hash")
	}
	if len(o.Groups) == 0 {
		c.fail(key+".groups", "at least one group is required")
	}
}

// required rejects an empty string.
func (c *checker) required(key, value string) {
	if value == "" {
		c.fail(key, "required setting is missing")
	}
}

// address requires an IP address and port.
func (c *checker) address(key, value string) {
	if value == "" {
		c.fail(key, "required setting is missing")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(key, "%q is not an IP address and port", value)
	}
}

// loopback requires a loopback address: targets on other hosts must not announce here.
func (c *checker) loopback(key, value string) {
	c.address(key, value)
	if parsed, err := netip.ParseAddrPort(value); err == nil && !parsed.Addr().IsLoopback() {
		c.fail(key, "%q is not a loopback address", value)
	}
}

// baseURL requires an http or https URL.
func (c *checker) baseURL(key, value string) {
	if value == "" {
		c.fail(key, "required setting is missing")
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.fail(key, "%q is not an http or https URL", value)
	}
}

// positive rejects durations of zero or less.
func (c *checker) positive(key string, value time.Duration) {
	if value <= 0 {
		c.fail(key, "must be above 0s, found %s", value)
	}
}

// atLeastOne rejects numbers below one.
func (c *checker) atLeastOne(key string, value int64) {
	if value < 1 {
		c.fail(key, "must be at least 1, found %d", value)
	}
}
