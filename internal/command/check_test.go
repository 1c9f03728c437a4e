package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/command"
)

var _ = Describe("check", func() {
	const settings = "node_name=a\nzone=b\nservice=s\napp_addr=127.0.0.1:1\nlisten_addrs.inbound=127.0.0.1:2\n" +
		"listen_addrs.outbound=127.0.0.1:3\nlisten_addrs.ready=127.0.0.1:4\nlisten_addrs.control_plane=127.0.0.1:5\n" +
		"platform.address=127.0.0.1:6\nbounds.grace_s=6\nbounds.retry_budget_ratio=0.2\nbounds.retry_slack=1\n" +
		"bounds.budget_window_s=10\nlimits.memory_mb=100\n"
	write := func(text string) string {
		name := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
		return name
	}

	It("prints what unknown values of an operator's configuration are taken for", func() {
		var stdout bytes.Buffer
		check := command.Check{OperatorConfig: []string{write(
			`{"version":"1f","services":{"a":{}},"routes":{"r":{"host":"h","prefix":"/x/","type":"odd","service":"a","max_attempts":1}}}`)}}
		Expect(command.ExitCode(check.Run(context.Background(), &stdout))).To(Equal(command.ExitBadInput))
		Expect(stdout.String()).To(ContainSubstring(`error: route r: type "odd" is unknown; its requests run at most once`))
		Expect(stdout.String()).To(ContainSubstring("has version 31, 1 errors, 0 hints and 0 changes"))
	})

	const clean = `{"version":"2","services":{"a":{}},"routes":{"r":{"host":"h","prefix":"/x/","type":"idempotent","service":"a","max_attempts":2}},
		"tenants":{"t":{"api_keys":["secret-one"],"rate_per_s":2,"burst":2}}}`

	// Guards against a script that sends a configuration with errors, or that is stopped by a hint.
	DescribeTable("tells errors from hints by the exit code",
		func(text string, code int, want string) {
			check := command.Check{OperatorConfig: []string{write(text)}}
			var stdout bytes.Buffer
			Expect(command.ExitCode(check.Run(context.Background(), &stdout))).To(Equal(code))
			Expect(stdout.String()).To(ContainSubstring(want))
		},
		Entry("clean", clean, command.ExitOK, "has version 2, 0 errors, 0 hints and 0 changes"),
		Entry("hints", strings.Replace(clean, `"burst":2`, `"burst":0.5`, 1), command.ExitOK, "conflict: customer t: the rate is 2 a second but the burst is below 1"),
		Entry("an error", strings.Replace(clean, `"service":"a"`, `"service":"b"`, 1), command.ExitBadInput, `error: route r: service "b" is unknown`),
		Entry("an unreadable configuration", `{`, command.ExitBadInput, ""),
	)

	// Guards against findings that need the settings of a daemon and are made without them.
	It("checks against the settings", func() {
		check := command.Check{
			OperatorConfig:   []string{write(strings.Replace(clean, `"max_attempts":2`, `"max_attempts":2,"allowed_regions":["nordic","baltic"]`, 1))},
			PlatformSettings: []string{write(settings + "zones.b=nordic\n")},
		}
		var stdout bytes.Buffer
		Expect(check.Run(context.Background(), &stdout)).To(Succeed())
		Expect(stdout.String()).To(ContainSubstring(`never matches: route r: no failure domain of the settings is in the allowed region "baltic"`))
		Expect(stdout.String()).NotTo(ContainSubstring("nordic"))
		Expect(stdout.String()).To(ContainSubstring("conflict: route r: the timeout 30s is above the grace period 6s"))
	})

	// Guards against a change that is sent unseen, and against keys in the output, which often ends in logs.
	It("prints what differs from the configuration in force, without keys", func() {
		check := command.Check{InForce: write(clean), OperatorConfig: []string{write(strings.NewReplacer(
			`"version":"2"`, `"version":"3"`, "secret-one", "secret-two").Replace(clean))}}
		var stdout bytes.Buffer
		Expect(check.Run(context.Background(), &stdout)).To(Succeed())
		Expect(stdout.String()).To(ContainSubstring("change: customer t: keys: 1 -> 1: 1 added, 1 removed"))
		Expect(stdout.String()).To(ContainSubstring("0 errors, 0 hints and 1 changes"))
		Expect(stdout.String()).NotTo(ContainSubstring("secret"))
	})

	// Guards against a decoder's error that repeats the keys that it could not read.
	DescribeTable("prints no key that cannot be read",
		func(keys string) {
			text := strings.Replace(clean, `["secret-one"]`, keys, 1)
			check := command.Check{InForce: write(clean), OperatorConfig: []string{write(strings.Replace(text, `"version":"2"`, `"version":"3"`, 1))}}
			var stdout bytes.Buffer
			err := check.Run(context.Background(), &stdout)
			Expect(command.ExitCode(err)).To(Equal(command.ExitBadInput))
			Expect(stdout.String()).To(ContainSubstring("error: customer t: api_keys cannot be read"))
			Expect(stdout.String() + err.Error()).NotTo(Or(ContainSubstring("secret"), ContainSubstring("7712345")))
		},
		Entry("a text", `"secret-one"`),
		Entry("a number", `7712345`),
		Entry("a list with a number", `["secret-one",7712345]`),
		Entry("an object", `{"secret-one":7712345}`),
	)

	DescribeTable("names the file that it cannot use",
		func(check command.Check, code int, want ...string) {
			err := check.Run(context.Background(), &bytes.Buffer{})
			Expect(command.ExitCode(err)).To(Equal(code))
			for _, text := range want {
				Expect(err).To(MatchError(ContainSubstring(text)))
			}
		},
		Entry("missing configuration", command.Check{OperatorConfig: []string{"no-file"}}, command.ExitFailure, "check operator configuration", "no-file"),
		Entry("missing settings", command.Check{PlatformSettings: []string{"no-file"}}, command.ExitFailure, "read settings", "no-file"),
		Entry("only the one in force", command.Check{InForce: "no-file"}, command.ExitBadInput, "--in-force needs --operator-config"),
	)

	// Guards against an error that blames the checked file for one in the other.
	It("names the configuration in force that it cannot use", func() {
		for text, code := range map[string]int{"": command.ExitFailure, "{": command.ExitBadInput, "{}": command.ExitBadInput, `{"version":"0"}`: command.ExitBadInput} {
			inForce := "no-file"
			if text != "" {
				inForce = write(text)
			}
			check := command.Check{InForce: inForce, OperatorConfig: []string{write(clean)}}
			err := check.Run(context.Background(), &bytes.Buffer{})
			Expect(command.ExitCode(err)).To(Equal(code), "%s", text)
			Expect(err).To(MatchError(ContainSubstring("configuration in force (peer " + inForce)))
		}
	})

	DescribeTable("fails for what a mesh daemon could not use",
		func(check func(name string) command.Check, text, want string) {
			c := check(write(text))
			err := c.Run(context.Background(), &bytes.Buffer{})
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("configuration without a version", func(name string) command.Check { return command.Check{OperatorConfig: []string{name}} }, `{}`, "version"),
		Entry("configuration that is no JSON", func(name string) command.Check { return command.Check{OperatorConfig: []string{name}} }, `{`, "JSON"),
		Entry("settings without a field", func(name string) command.Check { return command.Check{PlatformSettings: []string{name}} }, "zone=north\n", "node_name"),
	)

	// Guards against a check that tells something else about keys than the daemon does, whose settings decide that, too.
	DescribeTable("tells whether requests need a key",
		func(tenants, contracts, want string) {
			check := command.Check{OperatorConfig: []string{write(`{"version":"1"` + tenants + `}`)}}
			if contracts != "" {
				check.PlatformSettings = []string{write(settings + contracts)}
			}
			var stdout bytes.Buffer
			Expect(check.Run(context.Background(), &stdout)).To(Succeed())
			Expect(stdout.String()).To(ContainSubstring(want))
		},
		Entry("an empty table", `,"tenants":{}`, "", "no key is valid"),
		Entry("an empty table, named by the contracts", `,"tenants":{}`, "contracts=base,tenants\n", "no key is valid"),
		Entry("an empty table, not in force", `,"tenants":{}`, "contracts=base\n", "requests need no key"),
		Entry("no table", ``, "contracts=base,tenants\n", "requests need no key"),
		Entry("a customer", `,"tenants":{"t":{"api_keys":["k"]}}`, "contracts=base\n", "requests need a key of one of 1 customers"),
	)

	It("needs something to check", func() {
		check := command.Check{}
		Expect(check.Run(context.Background(), &bytes.Buffer{})).NotTo(Succeed())
	})
})
