package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/settings"
	"buckthornlatch.example/buckthornlatch/internal/tomlfile"
)

const valid = `
[host]
name = "trelew-1"
failure_domain = "trelew"

[listen]
caller = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
local = "127.0.0.1:8082"
admin = "127.0.0.1:8083"

[platform]
address = "http://127.0.0.1:9000"
poll_interval = "500ms"

[[operators]]
name = "ana"
token_hash = "` + "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" + `"
groups = ["trails"]
`

var _ = Describe("Parse", func() {
	It("keeps defaults for settings that the file omits", func() {
		s, err := settings.Parse("daemon.toml", []byte(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Platform.PollInterval).To(Equal(500 * time.Millisecond))
		Expect(s.Platform.Timeout).To(Equal(settings.Default().Platform.Timeout))
		Expect(s.Operators[0].Groups).To(ConsistOf("trails"))
	})

	// Guards against reporting one error at a time, and against silently ignored keys.
	It("reports every error at once with its line", func() {
		broken := strings.Replace(valid, `"500ms"`, `500`, 1)
		broken = strings.Replace(broken, `name = "trelew-1"`, `nmae = "trelew-1"`, 1)
		broken = strings.Replace(broken, `local = "127.0.0.1:8082"`, `local = "10.0.0.1:8082"`, 1)
		_, err := settings.Parse("daemon.toml", []byte(broken))
		var faults tomlfile.Faults
		Expect(errors.As(err, &faults)).To(BeTrue())
		lines := make(map[string]int)
		for _, f := range faults {
			lines[f.Key] = f.Line
		}
		Expect(lines).To(HaveKeyWithValue("host.nmae", 3))
		Expect(lines).To(HaveKeyWithValue("host.name", 2))
		Expect(lines).To(HaveKeyWithValue("listen.local", 9))
		Expect(lines).To(HaveKeyWithValue("platform.poll_interval", 14))
	})

	// Guards against a daemon that starts without TLS, or accepts any certificate of its CA as a
	// peer's, because one of the TLS settings is missing.
	It("requires the TLS settings together", func() {
		complete := valid + "[tls]\ncert_file = \"c\"\nkey_file = \"k\"\npeer_ca_file = \"a\"\n"
		s, err := settings.Parse("daemon.toml", []byte(complete))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.TLS.PeerName).To(Equal("buckthornlatch-peer"))
		for _, line := range []string{"cert_file = \"c\"\n", "key_file = \"k\"\n", "peer_ca_file = \"a\"\n"} {
			_, err := settings.Parse("daemon.toml", []byte(strings.Replace(complete, line, "", 1)))
			Expect(err).To(HaveOccurred(), line)
		}
		_, err = settings.Parse("daemon.toml", []byte(complete+"peer_name = \"\"\n"))
		Expect(err).To(MatchError(ContainSubstring("tls.peer_name")))
	})

	It("reports the line of a syntax error", func() {
		_, err := settings.Parse("daemon.toml", []byte("[host]\nname = \n"))
		Expect(err).To(MatchError(ContainSubstring("daemon.toml:2")))
	})
})

// Guards against a panic on a malformed file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[[operators]]\n[operators.x]\na=1\n"))
	f.Fuzz(func(_ *testing.T, document []byte) {
		_, _ = settings.Parse("fuzz.toml", document)
	})
}
