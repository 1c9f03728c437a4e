package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"buckthornlatch.example/buckthornlatch/internal/command"
)

var _ = Describe("check", func() {
	write := func(text string) string {
		name := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(name, []byte(text), 0o600)).To(Succeed())
		return name
	}

	It("prints what unknown values of an operator's configuration are taken for", func() {
		var stdout bytes.Buffer
		check := command.Check{OperatorConfig: []string{write(
			`{"version":"1f","services":{"a":{}},"routes":{"r":{"host":"h","prefix":"/x/","type":"odd","service":"a","max_attempts":1}}}`)}}
		Expect(check.Run(context.Background(), &stdout)).To(Succeed())
		Expect(stdout.String()).To(ContainSubstring(`route r: type "odd" is unknown; its requests run at most once`))
		Expect(stdout.String()).To(ContainSubstring("has version 31 and 1 warnings"))
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
			settings := "node_name=a\nzone=b\nservice=s\napp_addr=127.0.0.1:1\nlisten_addrs.inbound=127.0.0.1:2\n" +
				"listen_addrs.outbound=127.0.0.1:3\nlisten_addrs.ready=127.0.0.1:4\nlisten_addrs.control_plane=127.0.0.1:5\n" +
				"platform.address=127.0.0.1:6\nbounds.grace_s=6\nbounds.retry_budget_ratio=0.2\nbounds.retry_slack=1\n" +
				"bounds.budget_window_s=10\nlimits.memory_mb=100\n" + contracts
			check := command.Check{OperatorConfig: []string{write(`{"version":"1"` + tenants + `}`)}}
			if contracts != "" {
				check.PlatformSettings = []string{write(settings)}
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
