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

	It("needs something to check", func() {
		check := command.Check{}
		Expect(check.Run(context.Background(), &bytes.Buffer{})).NotTo(Succeed())
	})
})
